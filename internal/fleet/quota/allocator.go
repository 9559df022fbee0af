package quota

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
)

const (
	// expiryInterval is the minimum time between two searches for expired holders.
	expiryInterval = 100 * time.Millisecond
	// maxHolders is the maximum number of tracked holders; reports of further ones are rejected.
	maxHolders = 20_000
	// spareDivisor limits spare slots: all holders of a tenant together may keep 1/spareDivisor of the unallocated
	// slots.
	spareDivisor = 2
	// raiseDivisor is the threshold for raising a tenant's ceiling: at most 1/raiseDivisor of Slots.Normal is left.
	raiseDivisor = 10
	// lowerDivisor is the threshold for lowering it again: at most 1/lowerDivisor of Slots.Normal is held.
	lowerDivisor = 2
	// raisedFor is the minimum time for which a ceiling stays raised after it was last needed, since each change is a
	// write to the replicated record.
	raisedFor = 10 * time.Second
)

var (
	// errInvalidReport is returned for a report without holder or incarnation, or with a negative number of slots.
	errInvalidReport = errors.New("invalid quota report: holder or incarnation missing, or negative number of slots")
	// errFirstReportNotFull is returned for a partial report from an incarnation that has not reported before.
	errFirstReportNotFull = errors.New("quota report rejected: first report of an incarnation must be full")
	// errProcessEnded is returned for a report of an incarnation whose successor has already reported.
	errProcessEnded = errors.New("quota report rejected: a newer incarnation of the holder has reported")
)

// Allocator allocates the slots of all tenants during one or more consecutive epochs of the control plane's primary.
// Times are on the monotonic clock of its process. It is not safe for concurrent use.
type Allocator struct {
	rule   Rule
	limits Limits

	// inherited are the ceilings under which earlier allocators worked, and committed those that this one may use.
	inherited *Ceilings
	committed *Ceilings
	// proposed are the ceilings that may be committed next. A tenant that they don't raise is limited to Slots.Normal.
	proposed *Ceilings
	// raised maps each tenant that needs a raised ceiling to the time when it last needed it.
	raised map[string]time.Duration

	// allKnownAt is when all holdings are known: a holder that has not reported by then can't use a slot, and has used
	// none within a window.
	allKnownAt time.Duration
	// unaccounted are the holders named in the inherited ceilings that have not reported yet; accountedAt is when the
	// slots of those that have reported are all known.
	unaccounted map[string]bool
	accountedAt time.Duration

	holders map[string]*holderRecord // by name
	tenants map[string]*tenantRecord
	// retired are the slots of ended processes and expired holders, until they are free.
	retired  []retiredSlots
	expireAt time.Duration // time of the next search for expired holders
}

// holderRecord is the allocator's state for one proxy.
type holderRecord struct {
	incarnation uint64
	sequence    uint64
	conn        uint64 // number of the newest connection that it has reported on
	reportedAt  time.Duration
	held        map[string]int // slots by tenant, each above 0
}

// tenantRecord is the allocator's state for one tenant.
type tenantRecord struct {
	held     int // slots of all known holders and retired ones
	holders  int // number of holders with slots
	recycled int // slots returned to this allocator and not allocated again
	fresh    int // slots allocated beyond the returned ones before all holdings were known
}

// retiredSlots are the slots of an ended or expired process, which become free at freeAt.
type retiredSlots struct {
	holder string
	freeAt time.Duration
	held   map[string]int
}

// NewAllocator returns an allocator that knows the committed ceilings but no holdings. overlap is how long after now an
// earlier allocator may still answer.
func NewAllocator(rule Rule, limits Limits, ceilings *Ceilings, now, overlap time.Duration) *Allocator {
	a := &Allocator{
		rule:       rule,
		limits:     limits,
		inherited:  ceilings,
		committed:  ceilings,
		proposed:   ceilings,
		raised:     map[string]time.Duration{},
		allKnownAt: now + overlap + rule.Lease + rule.Window,
		holders:    map[string]*holderRecord{},
		tenants:    map[string]*tenantRecord{},
	}
	if ceilings != nil && ceilings.Complete {
		a.unaccounted = make(map[string]bool, len(ceilings.Holders))
		for _, name := range ceilings.Holders {
			a.unaccounted[name] = true
		}
	}
	return a
}

// account records that a holder named in the inherited ceilings has reported. An earlier process of the same name may
// have used slots, unknown to this one, until this one started. All slots are known once all these holders have
// reported and a window has passed since the youngest of their processes started.
func (a *Allocator) account(report *Report, now time.Duration) {
	if !a.unaccounted[report.Holder] {
		return
	}
	delete(a.unaccounted, report.Holder)
	uptime := time.Duration(report.UptimeMs) * time.Millisecond
	a.accountedAt = max(a.accountedAt, now+a.rule.Window-uptime)
	if len(a.unaccounted) == 0 {
		a.allKnownAt = min(a.allKnownAt, max(a.accountedAt, now))
	}
}

// SetLimits applies the limits of a configuration. The caller must not modify them afterwards.
func (a *Allocator) SetLimits(limits Limits) { a.limits = limits }

// SetCeilings applies committed ceilings.
func (a *Allocator) SetCeilings(ceilings *Ceilings) { a.committed = ceilings }

// WantedCeilings returns the ceilings that this allocator needs. Before all holdings are known they raise all tenants;
// after that, the tenants most of whose slots are held. Returned ceilings must be committed, if at all, before those
// that a later call returns. From this call on, a tenant that is no longer raised is limited to Slots.Normal, and a
// proxy that isn't named gets no slots.
//
// The same ceilings are returned until SetCeilings reports them committed: a lowering with an unknown outcome may still
// be committed after slots were allocated under the earlier ceilings, and the next allocator would not know of those
// slots.
func (a *Allocator) WantedCeilings(now time.Duration) *Ceilings {
	a.expire(now)
	if !a.proposed.Equal(a.committed) {
		return a.proposed
	}
	if now < a.allKnownAt {
		a.proposed = &Ceilings{All: true}
		if a.inherited != nil && a.inherited.Complete {
			a.proposed.name(a.knownHolders())
		}
		return a.proposed
	}
	a.unaccounted = nil // a holder that has not reported by now holds no slots
	for tenant, t := range a.tenants {
		a.review(tenant, t, now)
	}
	a.proposed = newCeilings(a.raised)
	a.proposed.name(a.knownHolders())
	return a.proposed
}

// review raises a tenant's ceiling, keeps it raised or lowers it.
func (a *Allocator) review(tenant string, t *tenantRecord, now time.Duration) {
	slots, limited := a.limits[tenant]
	neededAt, raised := a.raised[tenant]
	switch {
	case limited && t.held >= slots.Normal-slots.Normal/raiseDivisor:
		a.raised[tenant] = now
	case !limited, raised && t.held <= slots.Normal/lowerDivisor && now-neededAt > raisedFor:
		delete(a.raised, tenant)
	case raised && t.held > slots.Normal/lowerDivisor:
		a.raised[tenant] = now
	}
}

// knownHolders returns the names of all proxies that may hold slots or have used one within the last window.
func (a *Allocator) knownHolders() map[string]bool {
	names := make(map[string]bool, len(a.holders))
	for name := range a.holders {
		names[name] = true
	}
	for _, r := range a.retired {
		names[r.holder] = true
	}
	for name := range a.unaccounted {
		names[name] = true
	}
	return names
}

// slotLimit returns how many of a tenant's slots may be allocated in total under the committed and proposed ceilings.
func (a *Allocator) slotLimit(tenant string, slots Slots) int {
	if a.committed.Raised(tenant) && a.proposed.Raised(tenant) {
		return slots.Total
	}
	return slots.Normal
}

// Handle processes a report and returns the slots granted to its holder. conn is the number of the connection that the
// report was received on; later connections have higher numbers. It returns an error for a report that must not be
// answered, and no grants for an out-of-date report.
func (a *Allocator) Handle(report *Report, conn uint64, now time.Duration) ([]Grant, error) {
	if err := report.validate(); err != nil {
		return nil, err
	}
	a.expire(now)
	holder, err := a.holderOf(report, conn, now)
	if err != nil || holder == nil {
		return nil, err
	}
	a.account(report, now)
	holder.reportedAt = now
	holder.sequence = report.Sequence
	if report.Full {
		a.recordAbsent(holder, report.Holdings)
	}
	grants := make([]Grant, 0, len(report.Holdings))
	for _, h := range report.Holdings {
		slots, limited := a.limits[h.Tenant]
		if !limited {
			a.record(holder, h.Tenant, 0)
			continue
		}
		a.record(holder, h.Tenant, h.Held)
		grants = append(grants, a.grant(report.Holder, holder, &h, slots, now))
	}
	return grants, nil
}

// validate returns errInvalidReport if a required field is missing or a number of slots is negative.
func (r *Report) validate() error {
	if r.Holder == "" || r.Incarnation == 0 {
		return errInvalidReport
	}
	for _, h := range r.Holdings {
		if h.Held < 0 || h.Wanted < 0 {
			return errInvalidReport
		}
	}
	return nil
}

// holderOf returns the record of a report's holder, or nil if the report is out of date. If the incarnation differs
// from the recorded one, the former process has ended and its slots become free after a window. Of two incarnations,
// the one with the older connection has ended, since its successor started and connected later; reports that it sent
// may still arrive.
func (a *Allocator) holderOf(report *Report, conn uint64, now time.Duration) (*holderRecord, error) {
	holder := a.holders[report.Holder]
	switch {
	case holder != nil && holder.incarnation == report.Incarnation:
		if report.Sequence <= holder.sequence {
			return nil, nil
		}
		holder.conn = max(holder.conn, conn)
		return holder, nil
	case holder != nil && conn <= holder.conn:
		return nil, errProcessEnded
	case !report.Full:
		return nil, errFirstReportNotFull
	case holder != nil:
		a.retire(report.Holder, now+a.rule.Window)
	case len(a.holders) >= maxHolders:
		return nil, errors.New("too many holders")
	}
	holder = &holderRecord{incarnation: report.Incarnation, conn: conn, held: map[string]int{}}
	a.holders[report.Holder] = holder
	return holder, nil
}

// recordAbsent sets a holder's slots to 0 for each tenant that its full report doesn't name.
func (a *Allocator) recordAbsent(holder *holderRecord, holdings []Holding) {
	named := make(map[string]bool, len(holdings))
	for _, h := range holdings {
		named[h.Tenant] = true
	}
	for tenant := range holder.held {
		if !named[tenant] {
			a.record(holder, tenant, 0)
		}
	}
}

// record sets the number of a tenant's slots that a holder has. Returned slots may be allocated again.
func (a *Allocator) record(holder *holderRecord, tenant string, held int) {
	before := holder.held[tenant]
	if before == held {
		return
	}
	t := a.tenant(tenant)
	if held < before {
		t.recycled += before - held
	}
	t.held += held - before
	t.holders += countHolder(held) - countHolder(before)
	if held == 0 {
		delete(holder.held, tenant)
		return
	}
	holder.held[tenant] = held
}

// countHolder returns 1 if the holder has slots, else 0.
func countHolder(held int) int { return min(held, 1) }

// tenant returns the record of a tenant, which it creates if there is none.
func (a *Allocator) tenant(name string) *tenantRecord {
	t := a.tenants[name]
	if t == nil {
		t = &tenantRecord{}
		a.tenants[name] = t
	}
	return t
}

// grant allocates the slots that a holder needs, and additional ones in advance if many are available.
func (a *Allocator) grant(name string, holder *holderRecord, h *Holding, slots Slots, now time.Duration) Grant {
	t := a.tenant(h.Tenant)
	available := a.available(h.Tenant, t, slots, now)
	if !a.committed.mayHold(name) || !a.proposed.mayHold(name) {
		available = 0
	}
	granted := min(h.Wanted, available)
	// A reserve is kept back, so that spare slots alone don't raise the ceiling.
	spare := max(available-granted-slots.Normal/raiseDivisor, 0) / (spareDivisor * max(t.holders, 1))
	if h.Wanted > 0 && granted == h.Wanted {
		granted += min(spare, 1+h.Held/4)
	}
	recycled := min(granted, t.recycled)
	t.recycled -= recycled
	if now < a.allKnownAt {
		t.fresh += granted - recycled
	}
	if granted > 0 {
		t.held += granted
		t.holders += 1 - countHolder(h.Held)
		holder.held[h.Tenant] = h.Held + granted
	}
	return Grant{Tenant: h.Tenant, Slots: granted, Spare: spare, Surplus: t.surplusOf(h.Held, slots)}
}

// surplusOf returns how many of its slots a holder must give up if all holders give up the same fraction of theirs.
func (t *tenantRecord) surplusOf(held int, slots Slots) int {
	over := t.held - slots.Total
	if over <= 0 || held == 0 {
		return 0
	}
	return (held*over + t.held - 1) / t.held
}

// available returns how many of a tenant's slots are known to be free. Before all holdings are known, these are the
// returned ones and those that no earlier allocator can have allocated under its ceilings.
func (a *Allocator) available(tenant string, t *tenantRecord, slots Slots, now time.Duration) int {
	slotLimit := a.slotLimit(tenant, slots)
	if now >= a.allKnownAt {
		return max(slotLimit-t.held, 0)
	}
	before := slots.Normal
	if a.inherited.Raised(tenant) {
		before = slots.Total
	}
	return min(t.recycled+max(slotLimit-before-t.fresh, 0), max(slots.Total-t.held, 0))
}

// expire frees the slots of ended processes, and retires holders that have not reported for a lease and a window.
func (a *Allocator) expire(now time.Duration) {
	if now < a.expireAt {
		return
	}
	a.expireAt = now + expiryInterval
	for name, holder := range a.holders {
		if now-holder.reportedAt > a.rule.Lease+a.rule.Window {
			a.retire(name, now)
		}
	}
	a.retired = slices.DeleteFunc(a.retired, func(r retiredSlots) bool {
		ended := now > r.freeAt
		if ended {
			a.free(r.held)
		}
		return ended
	})
}

// retire removes a holder; its slots become free after freeAt.
func (a *Allocator) retire(name string, freeAt time.Duration) {
	holder := a.holders[name]
	delete(a.holders, name)
	for tenant := range holder.held {
		a.tenant(tenant).holders--
	}
	a.retired = append(a.retired, retiredSlots{holder: name, freeAt: freeAt, held: holder.held})
}

// free makes slots available for allocation again.
func (a *Allocator) free(held map[string]int) {
	for tenant, n := range held {
		t := a.tenant(tenant)
		t.held -= n
		t.recycled += n
	}
}
