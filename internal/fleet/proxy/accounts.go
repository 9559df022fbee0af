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
	// bearerScheme is the scheme of an API key in the Authorization field. It is compared case-insensitively.
	bearerScheme = "Bearer"
	// revokeMargin is how long before the revocation bound requests are rejected if their key may have been revoked,
	// since the monotonic clocks of two machines differ slightly in rate.
	revokeMargin = 50 * time.Millisecond
	// unconfirmedRetryAfter is the Retry-After of a request whose key cannot be checked at present.
	unconfirmedRetryAfter = 200 * time.Millisecond
	// quotaWaitShare is the divisor of a route's latency target that gives how long a request waits for a decision on
	// its tenant's quota. Beyond that it is rejected early.
	quotaWaitShare = 5
	// defaultQuotaWait is that wait on routes without a latency target.
	defaultQuotaWait = 40 * time.Millisecond
	// quotaRetryAfter is the Retry-After of a request above its tenant's quota.
	quotaRetryAfter = 250 * time.Millisecond
	// noAllocatorRetryAfter is the Retry-After of a request while no control server allocates quotas: about the
	// duration of a failover.
	noAllocatorRetryAfter = 600 * time.Millisecond
)

// configConfirmation records the latest time at which the configuration in force was confirmed as the newest
// acknowledged one.
type configConfirmation struct {
	at time.Time // monotonic; zero: never
}

// confirmConfig records that the configuration in force was the newest acknowledged one at a time. It must be called
// after that configuration has been published in the routing snapshot.
func (p *Proxy) confirmConfig(at time.Time) {
	if last := p.confirmed.Load(); last == nil || at.After(last.at) {
		p.confirmed.Store(&configConfirmation{at: at})
	}
}

// confirmedAt returns the latest time at which the configuration in force was confirmed as the newest acknowledged one.
// A snapshot that is loaded afterwards has that configuration or a newer one.
func (p *Proxy) confirmedAt() time.Time {
	if last := p.confirmed.Load(); last != nil {
		return last.at
	}
	return time.Time{}
}

// clientAccount is the account that a request belongs to.
type clientAccount struct {
	account *routingconfig.Account // nil: none
	slot    quota.Slot             // taken from the account's quota
}

// authenticate returns the account of a request's key; nil if the request needs none. It removes the key from the
// request, and the client's tenant header. Its errors are of type *rejection.
//
// Safety: a key that an acknowledged configuration revoked must not admit a request that was sent Bounds.Revoke later.
// The request was sent before arrivedAt, and as of confirmedAt no such configuration had been acknowledged that is not
// in the snapshot. So one check is enough, however long the request waits afterwards. confirmedAt has to be read before
// the snapshot, and the clock after the head of the request has been read.
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

// rejectUnconfirmed returns the rejection of a request whose key cannot be checked, because the configuration has not
// been confirmed as the newest by a control server recently enough.
func (p *Proxy) rejectUnconfirmed() *rejection {
	p.countRejection(unconfirmedConfig)
	return &rejection{
		status:     http.StatusServiceUnavailable,
		retryAfter: unconfirmedRetryAfter,
		reason:     "it is not known whether the API key is still valid",
	}
}

// extractKey returns the API key of a request, taken from its only Authorization field. If keys are required it also
// removes the field from the request; otherwise the field is meant for the backends.
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

// setTenantHeader sets the tenant header that backends receive to the name of a request's account, or removes it.
func setTenantHeader(header http.Header, account *routingconfig.Account) {
	if account == nil {
		delete(header, externalapi.HeaderTenant)
		return
	}
	header[externalapi.HeaderTenant] = []string{account.Name}
}

// acquireQuota acquires a slot of the account's quota for a request. Its errors are of type *rejection.
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

// rank returns the request's rank: that of its account, or else of its route. 0 is the highest.
func (cr *clientRequest) rank() int {
	if cr.account != nil && cr.account.Priority != nil {
		return *cr.account.Priority
	}
	return cr.route.Priority
}

// releaseUnused releases the quota slot of a request that no backend has run or will run.
func (cr *clientRequest) releaseUnused() {
	if !cr.mayHaveRun && !cr.prefilled && cr.sends == 0 {
		cr.slot.Release()
	}
}

// rejectionReason is why a request was rejected because of its key or its tenant.
type rejectionReason int

const (
	unknownKey rejectionReason = iota
	unconfirmedConfig
	overQuota
	unknownQuota

	rejectionReasons // number of reasons
)

// String returns the name of the reason's counter.
func (r rejectionReason) String() string {
	return [...]string{"unknown_key", "unconfirmed_configuration", "over_quota", "unknown_quota"}[r]
}

// countRejection counts a request that is rejected because of its key or its tenant.
func (p *Proxy) countRejection(reason rejectionReason) { p.rejections[reason].Add(1) }

// quotaAddr returns the address at which the primary allocates quotas; empty while no primary is known.
func (p *Proxy) quotaAddr() string {
	if addr := p.primaryHost.Load(); addr != nil && *addr != "" {
		return distribution.QuotaAddr(*addr, p.settings.Ports)
	}
	return ""
}
