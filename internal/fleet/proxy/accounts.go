package proxy

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/quota"
	"molepaddle/internal/fleet/routingconfig"
)

const (
	// bearerScheme is how a client sends its API key in the Authorization field; its case doesn't count.
	bearerScheme = "Bearer"
	// revokeMargin is how long before a key that may have been taken away could break the rule its requests are
	// rejected: the steady clocks of two machines don't run alike to the last millisecond.
	revokeMargin = 50 * time.Millisecond
	// unconfirmedRetryAfter is the Retry-After of a request whose key can't be checked now.
	unconfirmedRetryAfter = 200 * time.Millisecond
	// quotaWaitShare: a request waits for one in so many of its route's latency target until it is known whether its
	// tenant's quota has room, so that it is rejected early if it has to be.
	quotaWaitShare = 5
	// defaultQuotaWait is that time on routes without a latency target.
	defaultQuotaWait = 40 * time.Millisecond
	// quotaRetryAfter is the Retry-After of a request beyond its tenant's quota.
	quotaRetryAfter = 250 * time.Millisecond
	// noAllocatorRetryAfter is the Retry-After of a request when no control server hands out quotas: about as long as a
	// takeover lasts.
	noAllocatorRetryAfter = 600 * time.Millisecond
)

// configConfirmation says as of when the configuration in force here was the newest that was acknowledged.
type configConfirmation struct {
	at time.Time // by the steady clock; zero: never
}

// confirmConfig records that the configuration in force was the newest acknowledged one at a time. It must be called
// once that configuration is in the routing snapshot.
func (p *Proxy) confirmConfig(at time.Time) {
	if last := p.confirmed.Load(); last == nil || at.After(last.at) {
		p.confirmed.Store(&configConfirmation{at: at})
	}
}

// confirmedAt returns as of when the configuration in force was the newest acknowledged one. A snapshot that is loaded
// afterwards is that configuration or a newer one.
func (p *Proxy) confirmedAt() time.Time {
	if last := p.confirmed.Load(); last != nil {
		return last.at
	}
	return time.Time{}
}

// clientAccount is the account that a request is of.
type clientAccount struct {
	account *routingconfig.Account // nil: of none
	slot    quota.Slot             // of its quota
}

// authenticate returns the account of a request's key; nil where the request needs none. It takes the key and what the
// client says of its tenant off the request, and names the account's tenant instead. Its errors are rejections.
//
// Safety: a key that an acknowledged configuration took away must not run a request that was sent Revoke later. The
// request was sent before arrivedAt, and as of confirmedAt no such configuration was acknowledged that isn't in the
// snapshot. So one check is enough, whatever the request waits for afterwards. confirmedAt has to be read before the
// snapshot, and the clock after the head of the request was read.
func (p *Proxy) authenticate(
	r *http.Request, snapshot *routingSnapshot, route *routingconfig.Route, arrivedAt, confirmedAt time.Time,
) (*routingconfig.Account, error) {
	key, hasKey := extractKey(r.Header, snapshot.index.KeysRequired())
	r.Header.Del(externalapi.HeaderTenant)
	if !hasKey && (route.Public || !snapshot.index.KeysRequired()) {
		return nil, nil
	}
	age := arrivedAt.Sub(confirmedAt)
	if p.settings.Bounds.StrictRevoke && age > p.settings.Bounds.Revoke-revokeMargin {
		return nil, p.rejectUnconfirmed()
	}
	if !snapshot.index.KeysRequired() {
		return nil, nil
	}
	account, known := snapshot.index.AccountOfKey(key)
	switch {
	case known:
		return account, nil
	case age > p.settings.Bounds.Apply:
		return nil, p.rejectUnconfirmed() // the key may have been added since
	case route.Public:
		return nil, nil
	}
	p.countRejection(unknownKey)
	return nil, &rejection{status: http.StatusUnauthorized, reason: "the API key is not known"}
}

// rejectUnconfirmed returns the rejection of a request whose key can't be checked, since no control server has told for
// long that the configuration here is the newest.
func (p *Proxy) rejectUnconfirmed() *rejection {
	p.countRejection(unconfirmedConfig)
	return &rejection{
		status:     http.StatusServiceUnavailable,
		retryAfter: unconfirmedRetryAfter,
		reason:     "it is not known whether the API key is still valid",
	}
}

// extractKey returns the API key of a request: that of its only Authorization field. Where keys are required it takes the
// field off the request; otherwise the field is the backends'.
func extractKey(header http.Header, required bool) (key string, ok bool) {
	values := header[externalapi.HeaderAuthorization]
	if required {
		delete(header, externalapi.HeaderAuthorization)
	}
	if len(values) != 1 {
		return "", len(values) > 0
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(scheme, bearerScheme) {
		return "", true
	}
	return strings.Trim(key, " "), true
}

// setTenantHeader puts the name of a request's account into the header that backends get.
func setTenantHeader(header http.Header, account *routingconfig.Account) {
	if account == nil {
		delete(header, externalapi.HeaderTenant)
		return
	}
	header[externalapi.HeaderTenant] = []string{account.Name}
}

// acquireQuota takes a request from its account's quota. Its errors are rejections.
func (p *Proxy) acquireQuota(
	ctx context.Context, account *routingconfig.Account, route *routingconfig.Route,
) (quota.Slot, error) {
	if account == nil || !account.Limited() {
		return quota.Slot{}, nil
	}
	wait := route.LatencyTarget() / quotaWaitShare
	if wait <= 0 {
		wait = defaultQuotaWait
	}
	slot, err := p.quota.Acquire(ctx, account.Name, wait)
	switch {
	case err == nil:
		return slot, nil
	case errors.Is(err, quota.ErrOverQuota):
		p.countRejection(overQuota)
		return slot, &rejection{
			status:     http.StatusTooManyRequests,
			retryAfter: quotaRetryAfter,
			reason:     err.Error(),
		}
	}
	p.countRejection(unknownQuota)
	return slot, &rejection{
		status:     http.StatusServiceUnavailable,
		retryAfter: noAllocatorRetryAfter,
		reason:     err.Error(),
	}
}

// rank returns the request's rank: its account's, or else its route's. 0 is the highest.
func (cr *clientRequest) rank() int {
	if cr.account != nil && cr.account.Priority != nil {
		return *cr.account.Priority
	}
	return cr.route.Priority
}

// releaseUnused gives the quota back of a request that no backend has run or will run.
func (cr *clientRequest) releaseUnused() {
	if !cr.mayHaveRun && !cr.prefilled && cr.sends == 0 {
		cr.slot.Release()
	}
}

// rejectionReason is why a request was rejected for its key or its tenant.
type rejectionReason int

const (
	unknownKey rejectionReason = iota
	unconfirmedConfig
	overQuota
	unknownQuota

	rejectionReasons // how many there are
)

// String returns the name of the reason's counter.
func (r rejectionReason) String() string {
	return [...]string{"unknown_key", "unconfirmed_configuration", "over_quota", "unknown_quota"}[r]
}

// countRejection counts a request that is rejected for its key or its tenant.
func (p *Proxy) countRejection(reason rejectionReason) { p.rejections[reason].Add(1) }

// quotaAddr returns the address at which the primary hands out quotas; empty while none is known.
func (p *Proxy) quotaAddr() string {
	if addr := p.primaryHost.Load(); addr != nil && *addr != "" {
		return distribution.QuotaAddr(*addr, p.settings.Ports)
	}
	return ""
}
