package simulation

import (
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// quotaPeriod is the time in which a process may use its quota: once that is spent, it stands still for the rest.
	quotaPeriod = 100 * time.Millisecond
	// quotaSample is how often it is looked how much was used.
	quotaSample = time.Millisecond
)

// QuotaStats is what a quota did to a process.
type QuotaStats struct {
	Periods int           // in which it ran
	Stalls  int           // of these, in which it was stopped
	Stalled time.Duration // in all
	Longest time.Duration // of one stall
	Busiest time.Duration // the most processor time that it used in one period
}

// Quota bounds the processor time of a program, as some deployments do: full speed until its share of a period is
// spent, then nothing for the rest of it. It stops and continues the process with signals.
type Quota struct {
	program *Program
	allowed time.Duration // in a period
	end     chan struct{}
	ended   sync.WaitGroup
	stats   QuotaStats // once ended
}

// StartQuota bounds a program to a share of a core from now on, until Stop, or until the program ends.
func StartQuota(p *Program, share float64) *Quota {
	q := &Quota{
		program: p,
		allowed: time.Duration(share * float64(quotaPeriod)),
		end:     make(chan struct{}),
	}
	q.ended.Go(q.run)
	return q
}

// Stop lifts the bound, and returns what it did.
func (q *Quota) Stop() QuotaStats {
	close(q.end)
	q.ended.Wait()
	return q.stats
}

// run plays one period after the other.
func (q *Quota) run() {
	sample := time.NewTicker(quotaSample)
	defer sample.Stop()
	for q.period(sample.C) {
	}
}

// period plays one period; false: the quota or the program has ended.
func (q *Quota) period(sample <-chan time.Time) bool {
	began := time.Now()
	first, ok := processorTime(q.program.cmd.Process.Pid)
	if !ok {
		return false
	}
	q.stats.Periods++
	for time.Since(began) < quotaPeriod {
		select {
		case <-sample:
		case <-q.end:
			return false
		case <-q.program.done:
			return false
		}
		now, ok := processorTime(q.program.cmd.Process.Pid)
		if !ok {
			return false
		}
		q.stats.Busiest = max(q.stats.Busiest, now-first)
		if now-first >= q.allowed {
			return q.stall(began.Add(quotaPeriod))
		}
	}
	return true
}

// stall has the process stand still until a time; false: the quota has ended meanwhile.
func (q *Quota) stall(until time.Time) bool {
	began := time.Now()
	q.program.Signal(syscall.SIGSTOP)
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	goesOn := true
	select {
	case <-timer.C:
	case <-q.end:
		goesOn = false
	case <-q.program.done:
		goesOn = false
	}
	q.program.Signal(syscall.SIGCONT)
	stalled := time.Since(began)
	q.stats.Stalls++
	q.stats.Stalled += stalled
	q.stats.Longest = max(q.stats.Longest, stalled)
	return goesOn
}

// processorTime returns the processor time that all threads of a process have used; false: there is no such process.
func processorTime(pid int) (used time.Duration, ok bool) {
	// A process's clock has its id in the upper bits of the clock's, inverted, and 2 for time on a processor below.
	clock := int32(^pid<<3 | 2)
	var t unix.Timespec
	if unix.ClockGettime(clock, &t) != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
