package quota

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
)

const (
	// expiryInterval is the least time between two searches for holders whose slots are free again.
	expiryInterval = 100 * time.Millisecond
	// maxHolders bounds the holders that are known; reports of further ones are refused.
	maxHolders = 20_000
	// spareDivisor: all holders of a tenant together may keep one in so many of the slots that are not held.
	spareDivisor = 2
	// raiseDivisor: a tenant's ceiling is raised once one in so many of the slots below it, or less, is left.
	raiseDivisor = 10
	// lowerDivisor: it is lowered again once one in so many of them or less is held.
	lowerDivisor = 2
	// raisedFor is how long a ceiling stays raised at the least after that was last needed: each change is a write of
	// the record.
	raisedFor = 10 * time.Second
)

var (
	// errReport is the error of a report that no holder sends.
	errReport = errors.New("quota report: not valid")
	// errNotFull is the error of a first report that doesn't tell all that is held.
	errNotFull = errors.New("quota report: the first one of a process is not full")
	// errEnded is the error of a report of a process whose successor has reported.
	errEnded = errors.New("quota report: of a process that has ended")
)

// Allocator hands out the slots of all tenants, as one of the epochs of the control plane's primary. Times are on the
// steady clock of its process. It has no lock of its own.
type Allocator struct {
	rule   Rule
	limits Limits

	// inherited are the ceilings that earlier allocators kept to, and committed those that this one may use.
	inherited *Ceilings
	committed *Ceilings
	// proposed are the ceilings that may be committed next: a tenant that they don't raise is held to Slots.Normal.
	proposed *Ceilings
	// raised are the tenants whose ceilings this allocator needs to be raised, and when that was last so.
	raised map[string]time.Duration

	// provenAt is when all slots are known: who has not reported by then can't use a slot, and has used none within a
	// window.
	provenAt time.Duration
	// unaccounted are the holders that the inherited ceilings name and that have not reported, and accountedAt is when
	// the slots of those that have are all known.
	unaccounted map[string]bool
	accountedAt time.Duration

	holders map[string]*holderRecord // by name
	tenants map[string]*tenantRecord
	// retired are the slots of processes that have ended, until they are free.
	retired  []retiredSlots
	expireAt time.Duration // when holders are next searched
}

// holderRecord is what the allocator knows of one proxy.
type holderRecord struct {
	incarnation uint64
	sequence    uint64
	conn        uint64 // the newest connection that it has reported on
	reportedAt  time.Duration
	held        map[string]int // slots by tenant, each above 0
}

// tenantRecord is what the allocator knows of one tenant's slots.
type tenantRecord struct {
	held     int // by all holders known, and retired
	holders  int // that have slots
	recycled int // given back to this allocator and not handed out again
	fresh    int // handed out beyond what was given back, before all holdings were known
}

// retiredSlots are slots that are free again at a time.
type retiredSlots struct {
	holder string
	freeAt time.Duration
	held   map[string]int
}

// NewAllocator returns an allocator that knows no holdings, but the ceilings that are committed. overlap is for how
// long after now an earlier allocator may still answer.
func NewAllocator(rule Rule, limits Limits, ceilings *Ceilings, now, overlap time.Duration) *Allocator {
	a := &Allocator{
		rule:      rule,
		limits:    limits,
		inherited: ceilings,
		committed: ceilings,
		proposed:  ceilings,
		raised:    map[string]time.Duration{},
		provenAt:  now + overlap + rule.Lease + rule.Window,
		holders:   map[string]*holderRecord{},
		tenants:   map[string]*tenantRecord{},
	}
	if ceilings != nil && ceilings.Complete {
		a.unaccounted = make(map[string]bool, len(ceilings.Holders))
		for _, name := range ceilings.Holders {
			a.unaccounted[name] = true
		}
	}
	return a
}

// account notes that a holder of the inherited ceilings has reported. An earlier process of its name may have used
// slots that it doesn't know until it started. Once all have reported, and the last such use is a window ago, all
// slots are known.
func (a *Allocator) account(report *Report, now time.Duration) {
	if !a.unaccounted[report.Holder] {
		return
	}
	delete(a.unaccounted, report.Holder)
	uptime := time.Duration(report.UptimeMs) * time.Millisecond
	a.accountedAt = max(a.accountedAt, now+a.rule.Window-uptime)
	if len(a.unaccounted) == 0 {
		a.provenAt = min(a.provenAt, max(a.accountedAt, now))
	}
}

// SetLimits puts the limits of a configuration in force. They must not be changed afterwards.
func (a *Allocator) SetLimits(limits Limits) { a.limits = limits }

// SetCeilings has the allocator make use of ceilings that are committed.
func (a *Allocator) SetCeilings(ceilings *Ceilings) { a.committed = ceilings }

// WantedCeilings returns the ceilings that this allocator needs. Before all holdings are known they raise all tenants;
// after that, those of which most slots are held. What is returned must be committed, if at all, before anything that a
// later call returns. A tenant that isn't raised any more is held to Slots.Normal from now on, and a proxy that isn't
// named gets no slots.
//
// What was returned is returned again until SetCeilings tells that it is committed: a lowering whose outcome isn't
// known may still be committed after slots were handed out under the ceilings before it, which the next allocator would
// not know of.
func (a *Allocator) WantedCeilings(now time.Duration) *Ceilings {
	a.expire(now)
	if !a.proposed.Equal(a.committed) {
		return a.proposed
	}
	if now < a.provenAt {
		a.proposed = &Ceilings{All: true}
		if a.inherited != nil && a.inherited.Complete {
			a.proposed.name(a.knownHolders())
		}
		return a.proposed
	}
	a.unaccounted = nil // who has not reported by now holds nothing
	for tenant, t := range a.tenants {
		a.review(tenant, t, now)
	}
	a.proposed = newCeilings(a.raised)
	a.proposed.name(a.knownHolders())
	return a.proposed
}

// review decides whether a tenant's ceiling is to be raised, or is raised no longer.
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

// knownHolders returns the names of all proxies that may hold slots, or have used one within a window.
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

// mayUse returns how many of a tenant's slots may be handed out in all.
func (a *Allocator) mayUse(tenant string, slots Slots) int {
	if a.committed.Raised(tenant) && a.proposed.Raised(tenant) {
		return slots.Total
	}
	return slots.Normal
}

// Handle takes a report and returns the slots that its holder gets. conn numbers the connection that it came on, a
// later one higher. It returns an error for a report that must not be answered, and nothing for one that has come late.
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

// validate returns an error for a report that no holder sends.
func (r *Report) validate() error {
	if r.Holder == "" || r.Incarnation == 0 {
		return errReport
	}
	for _, h := range r.Holdings {
		if h.Held < 0 || h.Wanted < 0 {
			return errReport
		}
	}
	return nil
}

// holderOf returns the record of a report's holder; nil: the report came late. Where its process is another than
// before, the slots of the former one are free after a window: it has ended. Of two processes the one whose connection
// is the older has ended, as the other was started, and has connected, after that: what it sent may still come.
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
		return nil, errEnded
	case !report.Full:
		return nil, errNotFull
	case holder != nil:
		a.retire(report.Holder, now+a.rule.Window)
	case len(a.holders) >= maxHolders:
		return nil, errors.New("too many holders")
	}
	holder = &holderRecord{incarnation: report.Incarnation, conn: conn, held: map[string]int{}}
	a.holders[report.Holder] = holder
	return holder, nil
}

// recordAbsent records that a holder has no slots of the tenants that a full report doesn't name.
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

// record records how many slots of a tenant a holder has. What it has given back may be handed out again.
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

// countHolder is 1 for a holder that has slots.
func countHolder(held int) int { return min(held, 1) }

// tenant returns the record of a tenant.
func (a *Allocator) tenant(name string) *tenantRecord {
	t := a.tenants[name]
	if t == nil {
		t = &tenantRecord{}
		a.tenants[name] = t
	}
	return t
}

// grant hands a holder the slots that it needs, and some in advance where there are many.
func (a *Allocator) grant(name string, holder *holderRecord, h *Holding, slots Slots, now time.Duration) Grant {
	t := a.tenant(h.Tenant)
	available := a.available(h.Tenant, t, slots, now)
	if !a.committed.mayHold(name) || !a.proposed.mayHold(name) {
		available = 0
	}
	granted := min(h.Wanted, available)
	// Spares are from the slots below which a ceiling isn't raised.
	spare := max(available-granted-slots.Normal/raiseDivisor, 0) / (spareDivisor * max(t.holders, 1))
	if h.Wanted > 0 && granted == h.Wanted {
		granted += min(spare, 1+h.Held/4)
	}
	recycled := min(granted, t.recycled)
	t.recycled -= recycled
	if now < a.provenAt {
		t.fresh += granted - recycled
	}
	if granted > 0 {
		t.held += granted
		t.holders += 1 - countHolder(h.Held)
		holder.held[h.Tenant] = h.Held + granted
	}
	return Grant{Tenant: h.Tenant, Slots: granted, Spare: spare, Surplus: t.surplusOf(h.Held, slots)}
}

// surplusOf returns how many of the slots of one holder are to be given up, if all give up an equal part of theirs.
func (t *tenantRecord) surplusOf(held int, slots Slots) int {
	over := t.held - slots.Total
	if over <= 0 || held == 0 {
		return 0
	}
	return (held*over + t.held - 1) / t.held
}

// available returns how many of a tenant's slots are known to be free. Before all holdings are known these are the ones
// that were given back, and those that no earlier allocator can have handed out by its ceilings.
func (a *Allocator) available(tenant string, t *tenantRecord, slots Slots, now time.Duration) int {
	mayUse := a.mayUse(tenant, slots)
	if now >= a.provenAt {
		return max(mayUse-t.held, 0)
	}
	before := slots.Normal
	if a.inherited.Raised(tenant) {
		before = slots.Total
	}
	return min(t.recycled+max(mayUse-before-t.fresh, 0), max(slots.Total-t.held, 0))
}

// expire frees the slots of holders that were not heard for so long that they are free, and of ended processes.
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

// retire forgets a holder, whose slots are free after a time.
func (a *Allocator) retire(name string, freeAt time.Duration) {
	holder := a.holders[name]
	delete(a.holders, name)
	for tenant := range holder.held {
		a.tenant(tenant).holders--
	}
	a.retired = append(a.retired, retiredSlots{holder: name, freeAt: freeAt, held: holder.held})
}

// free takes slots as given back.
func (a *Allocator) free(held map[string]int) {
	for tenant, n := range held {
		t := a.tenant(tenant)
		t.held -= n
		t.recycled += n
	}
}
