package quota

import "time"

const (
	// denialPause is how long no slots of a tenant are requested after the allocator had too few of them.
	denialPause = 100 * time.Millisecond
	// reportTransit is the maximum time within which an answered report reaches an allocator that may still answer. It
	// is longer than answerTimeout, and than the overlap of an earlier allocator with its successor.
	reportTransit = 2500 * time.Millisecond
)

// Verdict is the result of Holder.Acquire.
type Verdict int

const (
	// Admitted means that the request has taken a slot.
	Admitted Verdict = iota
	// NeedsSlots means that the holder has no free slot and is to request one from the allocator.
	NeedsSlots
	// OverQuota means that the holder has no free slot, and that the allocator had too few within denialPause.
	OverQuota
	// LeaseLapsed means that the holder's slots may not be used, as no report sent within a lease has been answered.
	LeaseLapsed
)

// Holder manages the slots of one proxy. Times are on the monotonic clock of its process, as durations since a fixed
// arbitrary moment. It is not safe for concurrent use.
type Holder struct {
	rule        Rule
	name        string
	incarnation uint64

	limits   Limits
	holdings map[string]*holding

	// leased is set once an allocator has answered a report; the slots may be used until usableUntil.
	leased      bool
	usableUntil time.Duration

	epoch    uint64 // epoch of the allocator that receives the reports; it never decreases
	sequence uint64 // sequence number of the last report

	firstReportAt time.Duration
}

// holding is a Holder's slots of one tenant. The number of slots is free + used.count().
type holding struct {
	free int
	// used are the times at which the slots that are not free yet were used.
	used useTimes
	// surplus is how many of the used slots are given up as soon as they become free.
	surplus int

	waiting int // requests that wait for a slot
	asked   int // number of waiting requests in the newest report
	spare   int // maximum number of free slots to keep
	lastUse time.Duration
	// deniedUntil is the end of denialPause after the last denial.
	deniedUntil time.Duration
}

// NewHolder returns a holder without slots. The incarnation distinguishes the process from earlier ones of the same
// name.
func NewHolder(rule Rule, name string, incarnation uint64) *Holder {
	return &Holder{
		rule:        rule,
		name:        name,
		incarnation: incarnation,
		limits:      Limits{},
		holdings:    map[string]*holding{},
	}
}

// Limited reports whether a tenant has a quota.
func (h *Holder) Limited(tenant string) bool {
	_, ok := h.limits[tenant]
	return ok
}

// SetLimits applies the limits of a configuration. If a tenant has fewer slots than before, this holder gives up its
// part of the difference, so that all holders together end up with no more slots than the tenant has now. The caller
// must not modify the limits afterwards.
func (h *Holder) SetLimits(limits Limits, now time.Duration) {
	for tenant, held := range h.holdings {
		after, limited := limits[tenant]
		if !limited {
			delete(h.holdings, tenant)
			continue
		}
		if before := h.limits[tenant].Total; after.Total < before {
			held.expire(now, h.rule.Window)
			total := held.total() - held.surplus
			held.giveUp(total - total*after.Total/before)
		}
	}
	h.limits = limits
}

// Acquire takes a slot of a tenant for a request that is forwarded to a backend no earlier than now.
func (h *Holder) Acquire(tenant string, now time.Duration) Verdict {
	if !h.leased || now >= h.usableUntil {
		return LeaseLapsed
	}
	held := h.holding(tenant)
	held.expire(now, h.rule.Window)
	switch {
	case held.free > 0:
		held.free--
		held.used.add(now)
		held.lastUse = now
		return Admitted
	case now < held.deniedUntil:
		return OverQuota
	}
	return NeedsSlots
}

// Release frees a slot that was taken at takenAt for a request that no backend has run.
func (h *Holder) Release(tenant string, takenAt time.Duration) {
	held := h.holdings[tenant]
	if held == nil {
		return
	}
	if held.used.take(takenAt) {
		held.addFree(1)
	}
}

// AddWaiting adds n, which may be negative, to the number of requests that wait for a slot of a tenant.
func (h *Holder) AddWaiting(tenant string, n int) {
	held := h.holding(tenant)
	held.waiting = max(held.waiting+n, 0)
}

// holding returns the record of a tenant's slots, which it creates if there is none.
func (h *Holder) holding(tenant string) *holding {
	held := h.holdings[tenant]
	if held == nil {
		held = &holding{}
		h.holdings[tenant] = held
	}
	return held
}

// BeginReports sets the epoch of the allocator that later reports are for. It returns false and changes nothing if the
// epoch is 0 or earlier than that of a former allocator.
func (h *Holder) BeginReports(epoch uint64) bool {
	if epoch == 0 || epoch < h.epoch {
		return false
	}
	h.epoch = epoch
	return true
}

// NextReport returns a report of the tenants that need slots or, if full is set, of all holdings. A full report returns
// the free slots beyond those to keep.
//
// All slots are given up a window less reportTransit after the lease has lapsed. An allocator that receives no report
// allocates them to others a window after the lease, and this report may take up to reportTransit to reach an
// allocator.
func (h *Holder) NextReport(now time.Duration, full bool) *Report {
	lapsed := h.leased && now >= h.usableUntil+max(h.rule.Window-reportTransit, 0)
	if h.sequence == 0 {
		h.firstReportAt = now
	}
	h.sequence++
	report := &Report{
		Holder:      h.name,
		Incarnation: h.incarnation,
		Sequence:    h.sequence,
		Epoch:       h.epoch,
		Full:        full,
		UptimeMs:    (now - h.firstReportAt).Milliseconds(),
	}
	for tenant, held := range h.holdings {
		held.expire(now, h.rule.Window)
		if lapsed {
			held.giveUp(held.total())
		}
		if full {
			held.giveBack(now, h.rule.Window)
		}
		if full || held.waiting > 0 {
			report.Holdings = append(report.Holdings, Holding{
				Tenant: tenant,
				Held:   held.total(),
				Wanted: held.waiting,
			})
		}
		held.asked = held.waiting
		if held.total() == 0 && held.waiting == 0 {
			delete(h.holdings, tenant)
		}
	}
	return report
}

// HasSurplus reports whether a full report would return slots.
func (h *Holder) HasSurplus(now time.Duration) bool {
	for _, held := range h.holdings {
		held.expire(now, h.rule.Window)
		if held.free > held.keep(now, h.rule.Window) {
			return true
		}
	}
	return false
}

// Apply processes an allocator's answer to a report that was sent at sentAt: it extends the lease and adds the granted
// slots.
func (h *Holder) Apply(answer *Answer, sentAt, now time.Duration) {
	h.leased = true
	h.usableUntil = max(h.usableUntil, sentAt+h.rule.Lease)
	for _, grant := range answer.Grants {
		if !h.Limited(grant.Tenant) {
			continue // the next full report returns the granted slots
		}
		held := h.holding(grant.Tenant)
		held.free += grant.Slots
		held.spare = grant.Spare
		held.giveUp(grant.Surplus - held.surplus)
		if held.asked > grant.Slots {
			held.deniedUntil = now + denialPause
		}
	}
}

// total returns the number of slots, free and used.
func (s *holding) total() int { return s.free + s.used.count() }

// expire frees the slots whose last use is more than a window ago.
func (s *holding) expire(now, window time.Duration) {
	s.addFree(s.used.takeEarlier(now - window))
}

// addFree adds n free slots, less those that are to be given up.
func (s *holding) addFree(n int) {
	gone := min(n, s.surplus)
	s.surplus -= gone
	s.free += n - gone
}

// giveUp gives up n slots if n is positive: free ones now, others when they become free.
func (s *holding) giveUp(n int) {
	n = min(max(n, 0), s.total()-s.surplus)
	now := min(n, s.free)
	s.free -= now
	s.surplus += n - now
}

// giveBack drops the free slots beyond those to keep.
func (s *holding) giveBack(now, window time.Duration) { s.free = min(s.free, s.keep(now, window)) }

// keep returns how many free slots to keep: up to half of the used ones and one more, limited by the allocator's spare
// allowance, and 0 if the tenant has had no request for a window.
func (s *holding) keep(now, window time.Duration) int {
	if s.used.count() == 0 && now-s.lastUse > window {
		return 0
	}
	return min(s.spare, 1+s.used.count()/2)
}
