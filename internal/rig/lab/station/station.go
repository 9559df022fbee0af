// Package station is one order server of the lab as a state machine: slots, a bounded queue,
// work that a cold start slows down, a memory of keys, faults, and what it reports of its load.
// There is no I/O and no clock: times come in, in milliseconds, and whoever drives it calls End
// when a job's time has come. The model drives it by events in virtual time, the live stand-ins
// by timers; a Station belongs to its driver, live under a lock.
package station

import (
	"math"
	"slices"

	"molepaddle/internal/rig/lab/law"
	"molepaddle/internal/rig/scenario"
)

// Verdict is what becomes of a job that arrives.
type Verdict uint8

// The verdicts.
const (
	Started Verdict = iota // End is due at the job's Until
	Queued                 // it waits
	Full                   // turned away: it never ran
	Failed                 // begun, and ended in an error at once
)

// Job is one request at a server.
type Job struct {
	ID      uint64 // of the request; the same for each attempt
	Work    float64
	Key     uint32
	Arrived float64
	Began   float64
	Until   float64 // when it ends
	Tag     any     // the driver's
	serving bool
	over    bool
	place   int
}

// Serving tells whether the job is being worked on.
func (j *Job) Serving() bool { return j.serving }

// Report is what a server tells of its load.
type Report struct {
	At             float64
	QPS, Util, EPS float64
}

// Fault is what is wrong with a server for a time.
type Fault struct {
	Slow  float64 // factor; 0: none
	Fail  float64 // share of requests
	Until float64
}

// arrival is work that came.
type arrival struct{ at, work float64 }

// Station is one process of an order server.
type Station struct {
	Kind  *scenario.Server
	rules *scenario.Rules
	seed  uint64
	born  float64 // below 0: long ago
	slots []*Job
	busy  int
	queue []*Job
	head  int
	fault []Fault
	fell  bool
	// Work that came while it was cold, within the time after which it falls.
	came  []arrival
	sent  float64
	known map[uint32]float64
	order []uint32
	// Reports.
	served, errors   int
	busyTime, lookAt float64
	looked           float64
	reports          []Report
	// Sums since the start.
	Worked float64 // ms of work begun and not given up, on a core of speed 1
	Peak   float64 // most that came while it was cold, over what it bore at that moment
	serial uint64

	busySum, busyTold float64
}

// New makes a process that starts at born, below 0 long ago.
func New(kind *scenario.Server, rules *scenario.Rules, seed uint64, born float64) *Station {
	s := &Station{Kind: kind, rules: rules, seed: seed, born: born, slots: make([]*Job, kind.Slots), lookAt: max(born, 0), looked: max(born, 0)}
	if kind.Keys > 0 {
		s.known = map[uint32]float64{}
	}
	return s
}

// Born is when it started.
func (s *Station) Born() float64 { return s.born }

// Ramp is the part of its capacity that it has.
func (s *Station) Ramp(now float64) float64 {
	cold := s.rules.Cold.Ms()
	if s.born < 0 || now-s.born >= cold {
		return 1
	}
	return s.rules.ColdFrom + (1-s.rules.ColdFrom)*max(now-s.born, 0)/cold
}

// Fell tells whether it was pushed over: then it does nothing any more.
func (s *Station) Fell() bool { return s.fell }

// Add adds a fault.
func (s *Station) Add(f Fault) { s.fault = append(s.fault, f) }

// now drops what is over.
func (s *Station) at(now float64) (slow, fail float64) {
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

// Rate is the work that it does in a millisecond with one slot.
func (s *Station) Rate(now float64) float64 {
	slow, _ := s.at(now)
	return s.Kind.Speed * s.Ramp(now) / slow
}

// Failing is the share of requests that end in an error.
func (s *Station) Failing(now float64) float64 {
	_, fail := s.at(now)
	return fail
}

// Idle is how many slots are free.
func (s *Station) Idle() int {
	if s.fell {
		return 0
	}
	return len(s.slots) - s.busy
}

// Holds is how many jobs it has.
func (s *Station) Holds() int { return s.busy + len(s.queue) - s.head }

// Finish is about how long from now a job that comes would be done, and how long of that it would
// wait in line, when so many others of a mean work are on their way; ok is false where it would
// be turned away, or more likely fail than not.
func (s *Station) Finish(now, work float64, key uint32, coming int, mean float64) (after, wait float64, ok bool) {
	fail := s.Failing(now)
	if s.fell || fail > 0.5 {
		return 0, 0, false
	}
	rate := s.Rate(now)
	if s.Knows(now, key) {
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

// Free tells whether it is warm and well and has a slot for one more job than are on their way.
func (s *Station) Free(now float64, coming int) bool {
	return s.Idle() > coming && s.Ramp(now) == 1 && s.Failing(now) < 0.05
}

// Knows tells whether it would save work for a key.
func (s *Station) Knows(now float64, key uint32) bool {
	if key == 0 || s.known == nil {
		return false
	}
	at, ok := s.known[key]
	return ok && now-at < s.Kind.KeysFor.Ms()
}

// Arrive takes a job.
func (s *Station) Arrive(now float64, j *Job) Verdict {
	j.Arrived = now
	s.push(now, j.Work)
	if s.fell {
		return Full
	}
	s.serial++
	if _, fail := s.at(now); fail > 0 && law.Unit(s.seed, j.ID, s.serial) < fail {
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

// recent is the work that came within the time after which a server falls, as of now.
func (s *Station) recent(now float64) float64 {
	n := 0
	for n < len(s.came) && now-s.came[n].at >= s.rules.FallAfter.Ms() {
		s.sent -= s.came[n].work
		n++
	}
	s.came = s.came[n:]
	if len(s.came) == 0 {
		s.sent = 0 // and no rest of what was rounded
	}
	return s.sent
}

// bears is the work that a cold server can do in the time after which it falls.
func (s *Station) bears(now float64) float64 {
	return float64(len(s.slots)) * s.Kind.Speed * s.Ramp(now) * s.rules.FallAfter.Ms()
}

// push notes the work that comes, and whether a cold server falls over: it was sent more than a
// multiple of what it can do, over the time that the rules say. One request may be more than a
// small server does in that time: it takes three to push it over.
func (s *Station) push(now, work float64) {
	if s.Ramp(now) == 1 {
		s.came, s.sent = nil, 0
		return
	}
	s.recent(now)
	s.came = append(s.came, arrival{now, work})
	s.sent += work
	over := s.sent / s.bears(now)
	s.Peak = max(s.Peak, over)
	if over > s.rules.FallMultiple && len(s.came) > 2 {
		s.fell = true
	}
}

func (s *Station) begin(now float64, j *Job) {
	work := j.Work
	if s.known != nil && j.Key != 0 {
		if s.Knows(now, j.Key) {
			work *= 1 - s.Kind.KeySaves
		}
		s.learn(now, j.Key)
	}
	s.tick(now)
	j.Began, j.Until, j.serving = now, now+work/s.Rate(now), true
	for i := range s.slots {
		if s.slots[i] == nil {
			s.slots[i], j.place = j, i
			break
		}
	}
	s.busy++
	s.Worked += j.Work
}

// learn remembers a key, and forgets the oldest where there are too many.
func (s *Station) learn(now float64, key uint32) {
	if _, ok := s.known[key]; !ok {
		s.order = append(s.order, key)
		for len(s.known) >= s.Kind.Keys && len(s.order) > 0 {
			delete(s.known, s.order[0])
			s.order = s.order[1:]
		}
	}
	s.known[key] = now
}

// tick adds up how busy it was.
func (s *Station) tick(now float64) {
	s.busyTime += (now - s.looked) * float64(s.busy)
	s.busySum += (now - s.looked) * float64(s.busy)
	s.looked = now
}

// End takes a job that is done out of its slot, and starts the next in line; nil: none waits.
func (s *Station) End(now float64, j *Job) (next *Job) {
	if j.over || !j.serving {
		return nil
	}
	s.served++
	return s.free(now, j)
}

func (s *Station) free(now float64, j *Job) (next *Job) {
	j.over, j.serving = true, false
	s.tick(now)
	s.slots[j.place] = nil
	s.busy--
	if s.head == len(s.queue) || s.fell {
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

// Cancel gives a job up: it leaves the line, or its slot where work stops with its request.
// left is the work that was not done, on a core of speed 1.
func (s *Station) Cancel(now float64, j *Job) (next *Job, left float64) {
	switch {
	case j.over:
		return nil, 0
	case j.serving && s.Kind.RunsOn:
		return nil, 0
	case j.serving:
		left = j.Work * max(j.Until-now, 0) / max(j.Until-j.Began, 1e-9)
		s.Worked -= left
		return s.free(now, j), left
	}
	j.over = true
	if i := slices.Index(s.queue[s.head:], j); i >= 0 {
		s.queue = slices.Delete(s.queue, s.head+i, s.head+i+1)
		if s.head == len(s.queue) {
			s.queue, s.head = s.queue[:0], 0
		}
	}
	return nil, j.Work
}

// Kill ends the process with all its jobs, which it gives. It takes nothing any more.
func (s *Station) Kill(now float64) (jobs []*Job) {
	s.tick(now)
	for i, j := range s.slots {
		if j != nil {
			s.Worked -= j.Work * max(j.Until-now, 0) / max(j.Until-j.Began, 1e-9)
			jobs = append(jobs, j)
			s.slots[i] = nil
		}
	}
	jobs = append(jobs, s.queue[s.head:]...)
	for _, j := range jobs {
		j.over, j.serving = true, false
	}
	s.busy, s.queue, s.head, s.fell = 0, nil, 0, true
	return jobs
}

// Backlog is the time that one slot would need for all that it has, in milliseconds.
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

// Bears tells whether work that comes now leaves a server that is cold within a part of what
// pushes it over; a warm one bears any.
func (s *Station) Bears(now, work, part float64) bool {
	return s.Ramp(now) == 1 || s.recent(now)+work <= part*s.rules.FallMultiple*s.bears(now)
}

// BusyTime adds up the time of slots that were busy since it was asked last, in milliseconds.
func (s *Station) BusyTime(now float64) float64 {
	s.tick(now)
	t := s.busySum - s.busyTold
	s.busyTold = s.busySum
	return t
}

// Load is the report that an answer carries at a time: made anew every so often, told as it was
// some time ago, and a little wrong. extra is added to its age. No report: ok is false.
func (s *Station) Load(now, extra float64) (r Report, ok bool) {
	every := s.Kind.ReportEvery.Ms()
	if every <= 0 {
		return r, false
	}
	if now-s.lookAt >= every {
		s.tick(now)
		span := now - s.lookAt
		wrong := func(part uint64) float64 {
			return 1 + s.Kind.ReportError*(2*law.Unit(s.seed, math.Float64bits(now), part)-1)
		}
		s.reports = append(s.reports, Report{At: now, QPS: float64(s.served) / span * 1000 * wrong(1),
			Util: min(s.busyTime/span/float64(len(s.slots))*wrong(2), 1), EPS: float64(s.errors) / span * 1000 * wrong(3)})
		s.served, s.errors, s.busyTime, s.lookAt = 0, 0, 0, now
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
