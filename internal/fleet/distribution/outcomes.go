package distribution

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

const (
	// maxOutcomeReports bounds the reports that an OutcomeQueue holds: the oldest give way.
	maxOutcomeReports = 4096
	// minPushInterval is the least time between two pushes.
	minPushInterval = 100 * time.Millisecond
)

// OutcomeQueue holds reports of outcomes until they are pushed on or used. What is lost with it is told again by what comes after.
type OutcomeQueue struct {
	mu      sync.Mutex
	reports []OutcomeReport
	arrived chan struct{} // holds one value while reports are there
}

// NewOutcomeQueue makes an empty one.
func NewOutcomeQueue() *OutcomeQueue { return &OutcomeQueue{arrived: make(chan struct{}, 1)} }

// Put adds reports.
func (b *OutcomeQueue) Put(reports ...OutcomeReport) {
	if len(reports) == 0 {
		return
	}
	b.mu.Lock()
	b.reports = append(b.reports, reports...)
	if over := len(b.reports) - maxOutcomeReports; over > 0 {
		b.reports = append(b.reports[:0:0], b.reports[over:]...)
	}
	b.mu.Unlock()
	select {
	case b.arrived <- struct{}{}:
	default:
	}
}

// Apply gives the reports and forgets them.
func (b *OutcomeQueue) Take() []OutcomeReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	reports := b.reports
	b.reports = nil
	return reports
}

// Arrived gives a value once reports are there.
func (b *OutcomeQueue) Arrived() <-chan struct{} { return b.arrived }

// pushOutcomes pushes reports to a source until ctx ends, over one connection at a time.
func (w *Watcher) pushOutcomes(ctx context.Context, addr string) {
	pause := Backoff{Min: minPushInterval, Max: 10 * minPushInterval}
	for ctx.Err() == nil {
		began := time.Now()
		_ = w.pushOverConn(ctx, addr)
		pause.Wait(ctx, time.Since(began))
	}
}

// pushOverConn pushes reports over one connection, which is made for the first of them, until it breaks.
func (w *Watcher) pushOverConn(ctx context.Context, addr string) error {
	var c net.Conn
	var r *bufio.Reader
	gap := time.NewTimer(0)
	defer gap.Stop()
	for {
		select {
		case <-w.Outcomes.Arrived():
		case <-ctx.Done():
			return ctx.Err()
		}
		reports := w.Outcomes.Take()
		if len(reports) == 0 {
			continue
		}
		if c == nil {
			var err error
			if c, err = w.dial(addr); err != nil {
				return err
			}
			defer c.Close()
			stop := context.AfterFunc(ctx, func() { c.Close() })
			defer stop()
			r = bufio.NewReaderSize(c, 512)
		}
		if err := w.pushOnce(c, r, reports); err != nil {
			return err
		}
		gap.Reset(minPushInterval)
		select {
		case <-gap.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// pushOnce pushes reports and waits until they are taken.
func (w *Watcher) pushOnce(c net.Conn, r *bufio.Reader, reports []OutcomeReport) error {
	_ = c.SetDeadline(time.Now().Add(w.ReadTimeout))
	// A source of an older version takes it for a pull: it is to send nothing that is had.
	if err := WriteFrame(c, &Request{From: w.Name, Versions: w.pushVersions(), Outcomes: reports, Push: true}); err != nil {
		return err
	}
	var n Response
	return ReadFrame(r, &n)
}

// pushVersions is a vector that no source goes beyond.
func (w *Watcher) pushVersions() map[string]Version {
	newest := Version{Epoch: ^uint64(0), Count: ^uint64(0)}
	return map[string]Version{ConfigType: newest, BackendListType: newest, MembershipSizeType: newest, ControlServersType: newest, LoadReportType: newest, EjectionsType: newest}
}
