// Package station simulates one server process of the lab as a state machine: slots, a bounded queue,
// slow start, a cache of keys, injected faults, and load reports. It does no I/O and reads no clock:
// times are arguments in milliseconds, and the caller calls End when a job is done. The model calls it
// from events in virtual time, the live fake servers from timers. A Station is not safe for concurrent
// use; package live guards it by a lock.
package station

import (
	"math"
	"slices"

	"molepaddle/internal/rig/lab/law"
	"molepaddle/internal/rig/scenario"
)

// Verdict is the result of the arrival of a job.
type Verdict uint8

// Verdicts.
const (
	Started Verdict = iota // End is due at the job's Until
	Queued                 // in the queue
	Full                   // rejected: it never ran
	Failed                 // started and failed at once
)

// Job is one request at a server.
type Job struct {
	ID      uint64 // of the request; the same for each attempt
	Work    float64
	Key     uint32
	Arrived float64
	Began   float64
	Until   float64 // time of its end
	Tag     any     // for the caller
	serving bool
	ended   bool
	slot    int
}

// Serving reports whether the job occupies a slot.
func (j *Job) Serving() bool { return j.serving }

// Report is a server's load report.
type Report struct {
	At             float64
	QPS, Util, EPS float64
}

// Fault is a temporary fault of a server.
type Fault struct {
	Slow  float64 // factor; 0: none
	Fail  float64 // share of requests
	Until float64
}

// arrival is the arrival of a job: its time and work.
type arrival struct{ at, work float64 }

// Station is one process of a simulated server.
type Station struct {
	Kind      *scenario.Server
	rules     *scenario.Rules
	seed      uint64
	born      float64 // below 0: long ago
	slots     []*Job
	busy      int
	queue     []*Job
	head      int
	fault     []Fault
	collapsed bool
	// Work that arrived while cold, within FallAfter.
	arrivals    []arrival
	arrivedWork float64
	keys        map[uint32]float64
	keyOrder    []uint32
	// Load reports.
	served, errors       int
	busyTime, reportFrom float64
	busyUpdatedAt        float64
	reports              []Report
	// Sums since the start.
	Worked float64 // ms of work that was started and not cancelled, on a core of speed 1
	Peak   float64 // maximum load while cold, over the capacity at that time
	serial uint64

	busySum, busyReported float64
}

// New returns a process that was started at born; below 0: long ago.
func New(kind *scenario.Server, rules *scenario.Rules, seed uint64, born float64) *Station {
	s := &Station{Kind: kind, rules: rules, seed: seed, born: born, slots: make([]*Job, kind.Slots), reportFrom: max(born, 0), busyUpdatedAt: max(born, 0)}
	if kind.Keys > 0 {
		s.keys = map[uint32]float64{}
	}
	return s
}

// Born returns the start time; below 0: long ago.
func (s *Station) Born() float64 { return s.born }

// CapacityFraction returns the fraction of its capacity that it has while it warms up; 1: warm.
func (s *Station) CapacityFraction(now float64) float64 {
	cold := s.rules.Cold.Ms()
	if s.born < 0 || now-s.born >= cold {
		return 1
	}
	return s.rules.ColdFrom + (1-s.rules.ColdFrom)*max(now-s.born, 0)/cold
}

// Collapsed reports whether the server does no more work: it was overloaded while cold, or was killed.
func (s *Station) Collapsed() bool { return s.collapsed }

// Add injects a fault.
func (s *Station) Add(f Fault) { s.fault = append(s.fault, f) }

// activeFaults removes expired faults and returns the effect of the others.
func (s *Station) activeFaults(now float64) (slow, fail float64) {
	slow = 1
	if len(s.fault) == 0 {
		return slow, 0
	}
	s.fault = slices.DeleteFunc(s.fault, func(f Fault) bool { return now >= f.Until })
	for _, f := range s.fault {
		if f.Slow > 0 {
			slow *= f.Slow
		}
		fail = max(fail, f.Fail)
	}
	return slow, fail
}

// Rate returns the work that one slot does per millisecond.
func (s *Station) Rate(now float64) float64 {
	slow, _ := s.activeFaults(now)
	return s.Kind.Speed * s.CapacityFraction(now) / slow
}

// ErrorRate returns the share of requests that end in an error.
func (s *Station) ErrorRate(now float64) float64 {
	_, fail := s.activeFaults(now)
	return fail
}

// Idle returns the number of free slots.
func (s *Station) Idle() int {
	if s.collapsed {
		return 0
	}
	return len(s.slots) - s.busy
}

// Jobs returns the number of jobs in slots and in the queue.
func (s *Station) Jobs() int { return s.busy + len(s.queue) - s.head }

// Finish returns about how long from now a job that arrives would be done, and how long of that it would
// wait in the queue, while coming other jobs of mean work are on their way. ok is false if the job would
// be rejected, or is more likely than not to fail.
func (s *Station) Finish(now, work float64, key uint32, coming int, mean float64) (after, wait float64, ok bool) {
	fail := s.ErrorRate(now)
	if s.collapsed || fail > 0.5 {
		return 0, 0, false
	}
	rate := s.Rate(now)
	if s.HasKey(now, key) {
		work *= 1 - s.Kind.KeySaves
	}
	if s.Idle() <= coming {
		wait = (s.Backlog(now) + float64(coming)*mean/rate) / float64(len(s.slots))
		if len(s.queue)-s.head >= s.Kind.Queue {
			return 0, 0, false
		}
	}
	return (wait + work/rate) / (1 - fail), wait, true
}

// HasFreeSlot reports whether it is warm, has an error rate below 5 %, and has more free slots than jobs
// on their way.
func (s *Station) HasFreeSlot(now float64, coming int) bool {
	return s.Idle() > coming && s.CapacityFraction(now) == 1 && s.ErrorRate(now) < 0.05
}

// HasKey reports whether a key is in the cache, which reduces the work.
func (s *Station) HasKey(now float64, key uint32) bool {
	if key == 0 || s.keys == nil {
		return false
	}
	at, ok := s.keys[key]
	return ok && now-at < s.Kind.KeysFor.Ms()
}

// Arrive processes the arrival of a job.
func (s *Station) Arrive(now float64, j *Job) Verdict {
	j.Arrived = now
	s.recordArrival(now, j.Work)
	if s.collapsed {
		return Full
	}
	s.serial++
	if _, fail := s.activeFaults(now); fail > 0 && law.Uniform(s.seed, j.ID, s.serial) < fail {
		s.errors++
		return Failed
	}
	if s.busy < len(s.slots) {
		s.begin(now, j)
		return Started
	}
	if len(s.queue)-s.head >= s.Kind.Queue {
		return Full
	}
	s.queue = append(s.queue, j)
	return Queued
}

// recent returns the work that arrived within the last FallAfter.
func (s *Station) recent(now float64) float64 {
	n := 0
	for n < len(s.arrivals) && now-s.arrivals[n].at >= s.rules.FallAfter.Ms() {
		s.arrivedWork -= s.arrivals[n].work
		n++
	}
	s.arrivals = s.arrivals[n:]
	if len(s.arrivals) == 0 {
		s.arrivedWork = 0 // drop the rounding error
	}
	return s.arrivedWork
}

// coldCapacity returns the work that the server can do within FallAfter at its present capacity.
func (s *Station) coldCapacity(now float64) float64 {
	return float64(len(s.slots)) * s.Kind.Speed * s.CapacityFraction(now) * s.rules.FallAfter.Ms()
}

// recordArrival adds work that arrives, and makes a cold server collapse if the work within FallAfter
// exceeds FallMultiple times what it can do in that time. A single request may be more than a small
// server does in that time, so a collapse takes three requests.
func (s *Station) recordArrival(now, work float64) {
	if s.CapacityFraction(now) == 1 {
		s.arrivals, s.arrivedWork = nil, 0
		return
	}
	s.recent(now)
	s.arrivals = append(s.arrivals, arrival{now, work})
	s.arrivedWork += work
	over := s.arrivedWork / s.coldCapacity(now)
	s.Peak = max(s.Peak, over)
	if over > s.rules.FallMultiple && len(s.arrivals) > 2 {
		s.collapsed = true
	}
}

func (s *Station) begin(now float64, j *Job) {
	work := j.Work
	if s.keys != nil && j.Key != 0 {
		if s.HasKey(now, j.Key) {
			work *= 1 - s.Kind.KeySaves
		}
		s.rememberKey(now, j.Key)
	}
	s.addBusyTime(now)
	j.Began, j.Until, j.serving = now, now+work/s.Rate(now), true
	for i := range s.slots {
		if s.slots[i] == nil {
			s.slots[i], j.slot = j, i
			break
		}
	}
	s.busy++
	s.Worked += j.Work
}

// rememberKey adds a key to the cache, and evicts the oldest keys if it is full.
func (s *Station) rememberKey(now float64, key uint32) {
	if _, ok := s.keys[key]; !ok {
		s.keyOrder = append(s.keyOrder, key)
		for len(s.keys) >= s.Kind.Keys && len(s.keyOrder) > 0 {
			delete(s.keys, s.keyOrder[0])
			s.keyOrder = s.keyOrder[1:]
		}
	}
	s.keys[key] = now
}

// addBusyTime adds the busy time of the slots since the last call.
func (s *Station) addBusyTime(now float64) {
	s.busyTime += (now - s.busyUpdatedAt) * float64(s.busy)
	s.busySum += (now - s.busyUpdatedAt) * float64(s.busy)
	s.busyUpdatedAt = now
}

// End removes a completed job from its slot and starts the next one in the queue; nil: it is empty.
func (s *Station) End(now float64, j *Job) (next *Job) {
	if j.ended || !j.serving {
		return nil
	}
	s.served++
	return s.release(now, j)
}

func (s *Station) release(now float64, j *Job) (next *Job) {
	j.ended, j.serving = true, false
	s.addBusyTime(now)
	s.slots[j.slot] = nil
	s.busy--
	if s.head == len(s.queue) || s.collapsed {
		return nil
	}
	next = s.queue[s.head]
	s.queue[s.head] = nil
	s.head++
	if s.head == len(s.queue) {
		s.queue, s.head = s.queue[:0], 0
	} else if s.head > 256 && 2*s.head > len(s.queue) {
		s.queue = slices.Delete(s.queue, 0, s.head)
		s.head = 0
	}
	s.begin(now, next)
	return next
}

// Cancel cancels a job: it leaves the queue, or its slot unless the server runs cancelled jobs to the end.
// left is the work that was not done, on a core of speed 1.
func (s *Station) Cancel(now float64, j *Job) (next *Job, left float64) {
	switch {
	case j.ended:
		return nil, 0
	case j.serving && s.Kind.RunsOn:
		return nil, 0
	case j.serving:
		left = j.Work * max(j.Until-now, 0) / max(j.Until-j.Began, 1e-9)
		s.Worked -= left
		return s.release(now, j), left
	}
	j.ended = true
	if i := slices.Index(s.queue[s.head:], j); i >= 0 {
		s.queue = slices.Delete(s.queue, s.head+i, s.head+i+1)
		if s.head == len(s.queue) {
			s.queue, s.head = s.queue[:0], 0
		}
	}
	return nil, j.Work
}

// Kill ends the process and returns its jobs. Later jobs are rejected.
func (s *Station) Kill(now float64) (jobs []*Job) {
	s.addBusyTime(now)
	for i, j := range s.slots {
		if j != nil {
			s.Worked -= j.Work * max(j.Until-now, 0) / max(j.Until-j.Began, 1e-9)
			jobs = append(jobs, j)
			s.slots[i] = nil
		}
	}
	jobs = append(jobs, s.queue[s.head:]...)
	for _, j := range jobs {
		j.ended, j.serving = true, false
	}
	s.busy, s.queue, s.head, s.collapsed = 0, nil, 0, true
	return jobs
}

// Backlog returns the time that one slot would need for all jobs, in milliseconds.
func (s *Station) Backlog(now float64) float64 {
	sum := 0.0
	for _, j := range s.slots {
		if j != nil {
			sum += max(j.Until-now, 0)
		}
	}
	rate := s.Rate(now)
	for _, j := range s.queue[s.head:] {
		sum += j.Work / rate
	}
	return sum
}

// CanAccept reports whether a cold server stays within a part of the load at which it collapses if work
// arrives now; a warm server can always accept.
func (s *Station) CanAccept(now, work, part float64) bool {
	return s.CapacityFraction(now) == 1 || s.recent(now)+work <= part*s.rules.FallMultiple*s.coldCapacity(now)
}

// BusyTime returns the sum of the busy time of all slots since the last call, in milliseconds.
func (s *Station) BusyTime(now float64) float64 {
	s.addBusyTime(now)
	t := s.busySum - s.busyReported
	s.busyReported = s.busySum
	return t
}

// Load returns the load report that an answer carries. Reports are made periodically, have a delay and a
// random error; extra is added to the delay. ok is false if there is no report.
func (s *Station) Load(now, extra float64) (r Report, ok bool) {
	every := s.Kind.ReportEvery.Ms()
	if every <= 0 {
		return r, false
	}
	if now-s.reportFrom >= every {
		s.addBusyTime(now)
		span := now - s.reportFrom
		wrong := func(part uint64) float64 {
			return 1 + s.Kind.ReportError*(2*law.Uniform(s.seed, math.Float64bits(now), part)-1)
		}
		s.reports = append(s.reports, Report{At: now, QPS: float64(s.served) / span * 1000 * wrong(1),
			Util: min(s.busyTime/span/float64(len(s.slots))*wrong(2), 1), EPS: float64(s.errors) / span * 1000 * wrong(3)})
		s.served, s.errors, s.busyTime, s.reportFrom = 0, 0, 0, now
	}
	age := s.Kind.ReportAge.Ms() + extra
	for len(s.reports) > 1 && now-s.reports[1].At >= age {
		s.reports = s.reports[1:]
	}
	if len(s.reports) == 0 || now-s.reports[0].At < age {
		return r, false
	}
	return s.reports[0], true
}
