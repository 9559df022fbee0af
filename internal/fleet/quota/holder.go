package quota

import "time"

const (
	// denialPause is for how long a tenant isn't asked for again after the allocator had no slots for it.
	denialPause = 100 * time.Millisecond
	// reportTransit is within which time a report that is answered at all reaches an allocator that may still answer:
	// more than answerTimeout, and than an earlier allocator goes on beside a later one.
	reportTransit = 2500 * time.Millisecond
)

// Verdict says what becomes of a request that needs a slot.
type Verdict int

const (
	// Admitted requests have a slot.
	Admitted Verdict = iota
	// NeedsSlots says that no slot is free here, and that the allocator is to be asked for one.
	NeedsSlots
	// OverQuota says that no slot is free here, and that the allocator had none a moment ago.
	OverQuota
	// LeaseLapsed says that the slots held here may not be used, as no allocator has answered for the time of a lease.
	LeaseLapsed
)

// Holder is a proxy's slots. Times are on the steady clock of its process, as durations since any moment. It has no
// lock of its own.
type Holder struct {
	rule        Rule
	name        string
	incarnation uint64

	limits   Limits
	holdings map[string]*holding

	// leased says that an allocator has answered a report, and usableUntil until when the slots may be used.
	leased      bool
	usableUntil time.Duration

	epoch    uint64 // of the allocator that is reported to; it never falls
	sequence uint64 // of the last report

	firstReportAt time.Duration
}

// holding is what a Holder has of one tenant's slots. The number of slots is free + used.count().
type holding struct {
	free int
	// used are when the slots were used that are not free yet.
	used useTimes
	// surplus is how many of the used slots are given up as soon as they are free.
	surplus int

	waiting int // requests that wait for a slot
	asked   int // of them, those that the newest report has told of
	spare   int // free slots that may be kept
	lastUse time.Duration
	// deniedUntil is until when the allocator isn't asked.
	deniedUntil time.Duration
}

// NewHolder returns a holder without slots. The incarnation tells the process from earlier ones of the same name.
func NewHolder(rule Rule, name string, incarnation uint64) *Holder {
	return &Holder{
		rule:        rule,
		name:        name,
		incarnation: incarnation,
		limits:      Limits{},
		holdings:    map[string]*holding{},
	}
}

// Limited returns whether a tenant has a quota.
func (h *Holder) Limited(tenant string) bool {
	_, ok := h.limits[tenant]
	return ok
}

// SetLimits puts the limits of a configuration in force. Where a tenant has fewer slots than before, this holder gives
// up its part of the difference: if all do, all together have no more than the tenant has now. The limits must not be
// changed afterwards.
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

// Acquire takes a slot of a tenant for a request that goes to a backend from now on.
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

// Release gives a slot back that was taken at a time, for a request that no backend has run.
func (h *Holder) Release(tenant string, takenAt time.Duration) {
	held := h.holdings[tenant]
	if held == nil {
		return
	}
	if held.used.take(takenAt) {
		held.addFree(1)
	}
}

// AddWaiting adds to the number of requests that wait for a slot of a tenant, or takes from it.
func (h *Holder) AddWaiting(tenant string, n int) {
	held := h.holding(tenant)
	held.waiting = max(held.waiting+n, 0)
}

// holding returns what is held of a tenant's slots.
func (h *Holder) holding(tenant string) *holding {
	held := h.holdings[tenant]
	if held == nil {
		held = &holding{}
		h.holdings[tenant] = held
	}
	return held
}

// BeginReports notes the epoch of an allocator that is reported to from now on. It returns false, and reports nothing,
// where a later one has been reported to already.
func (h *Holder) BeginReports(epoch uint64) bool {
	if epoch == 0 || epoch < h.epoch {
		return false
	}
	h.epoch = epoch
	return true
}

// NextReport returns a report of the tenants that need slots or, if it is to be a full one, of all that is held. A full
// report gives back the free slots that are not to be kept.
//
// Some time after the lease has lapsed all slots are given up. An allocator that doesn't hear of them hands them out to
// others a window after the lease, and when this report reaches which allocator is not known, but for reportTransit.
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

// HasSurplus returns whether a full report would give slots back.
func (h *Holder) HasSurplus(now time.Duration) bool {
	for _, held := range h.holdings {
		held.expire(now, h.rule.Window)
		if held.free > held.keep(now, h.rule.Window) {
			return true
		}
	}
	return false
}

// Apply takes what an allocator has answered to a report that was sent at a time.
func (h *Holder) Apply(answer *Answer, sentAt, now time.Duration) {
	h.leased = true
	h.usableUntil = max(h.usableUntil, sentAt+h.rule.Lease)
	for _, grant := range answer.Grants {
		if !h.Limited(grant.Tenant) {
			continue // what is granted is given back with the next full report
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

// total is how many slots are held.
func (s *holding) total() int { return s.free + s.used.count() }

// expire frees the slots that were used a window ago.
func (s *holding) expire(now, window time.Duration) {
	s.addFree(s.used.takeEarlier(now - window))
}

// addFree adds free slots, but for those that are to be given up.
func (s *holding) addFree(n int) {
	gone := min(n, s.surplus)
	s.surplus -= gone
	s.free += n - gone
}

// giveUp gives up slots, if the number is above 0: free ones now, others when they become free.
func (s *holding) giveUp(n int) {
	n = min(max(n, 0), s.total()-s.surplus)
	now := min(n, s.free)
	s.free -= now
	s.surplus += n - now
}

// giveBack gives back the free slots that are not to be kept.
func (s *holding) giveBack(now, window time.Duration) { s.free = min(s.free, s.keep(now, window)) }

// keep is how many free slots are kept: as many as the allocator allows where the tenant is being served, and none of
// a tenant that has not been seen for a window.
func (s *holding) keep(now, window time.Duration) int {
	if s.used.count() == 0 && now-s.lastUse > window {
		return 0
	}
	return min(s.spare, 1+s.used.count()/2)
}
