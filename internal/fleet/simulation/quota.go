package simulation

import (
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// quotaPeriod is the accounting period of a quota: a process that has used its quota is stopped until the period
	// ends.
	quotaPeriod = 100 * time.Millisecond
	// quotaSample is the interval between two measurements of the used time.
	quotaSample = time.Millisecond
)

// QuotaStats are statistics on the effect of a quota on a process.
type QuotaStats struct {
	Periods int           // periods in which the process ran
	Stalls  int           // periods of these in which it was stopped
	Stalled time.Duration // total time for which it was stopped
	Longest time.Duration // longest time for which it was stopped
	Busiest time.Duration // maximum processor time used in one period
}

// Quota limits the processor time of a program, as some deployments do: the program runs at full speed until its share
// of a period is used up, and is stopped for the rest of the period. Quota stops and continues the process with
// signals.
type Quota struct {
	program *Program
	allowed time.Duration // processor time allowed in a period
	end     chan struct{}
	ended   sync.WaitGroup
	stats   QuotaStats // complete once the quota has ended
}

// StartQuota limits a program to a share of a core until Stop is called or the program ends.
func StartQuota(p *Program, share float64) *Quota {
	q := &Quota{
		program: p,
		allowed: time.Duration(share * float64(quotaPeriod)),
		end:     make(chan struct{}),
	}
	q.ended.Go(q.run)
	return q
}

// Stop removes the limit and returns the statistics.
func (q *Quota) Stop() QuotaStats {
	close(q.end)
	q.ended.Wait()
	return q.stats
}

// run executes one period after the other.
func (q *Quota) run() {
	sample := time.NewTicker(quotaSample)
	defer sample.Stop()
	for q.period(sample.C) {
	}
}

// period executes one period. It reports false if the quota or the program has ended.
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

// stall stops the process until a time. It reports false if the quota has ended meanwhile.
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

// processorTime returns the processor time used by all threads of a process. It reports false if there is no such
// process.
func processorTime(pid int) (used time.Duration, ok bool) {
	// The id of a process's CPU clock has the inverted process id in the upper bits, and 2 (CPUCLOCK_SCHED) in the
	// lower three bits.
	clock := int32(^pid<<3 | 2)
	var t unix.Timespec
	if unix.ClockGettime(clock, &t) != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
