package distribution

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

const (
	// maxOutcomeReports bounds the reports that an OutcomeBox holds: the oldest give way.
	maxOutcomeReports = 4096
	// pushPause is the least time between two pushes.
	pushPause = 100 * time.Millisecond
)

// OutcomeBox holds reports of outcomes until they are pushed on or used. What is lost with it is told again by what comes after.
type OutcomeBox struct {
	mu      sync.Mutex
	reports []OutcomeReport
	arrived chan struct{} // holds one value while reports are there
}

// NewOutcomeBox makes an empty one.
func NewOutcomeBox() *OutcomeBox { return &OutcomeBox{arrived: make(chan struct{}, 1)} }

// Put adds reports.
func (b *OutcomeBox) Put(reports ...OutcomeReport) {
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

// Take gives the reports and forgets them.
func (b *OutcomeBox) Take() []OutcomeReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	reports := b.reports
	b.reports = nil
	return reports
}

// Arrived gives a value once reports are there.
func (b *OutcomeBox) Arrived() <-chan struct{} { return b.arrived }

// push pushes reports to a source until ctx ends, over one connection at a time.
func (f *Follower) push(ctx context.Context, addr string) {
	pause := Pause{Least: pushPause, Most: 10 * pushPause}
	for ctx.Err() == nil {
		began := time.Now()
		_ = f.pushOver(ctx, addr)
		pause.Wait(ctx, time.Since(began))
	}
}

// pushOver pushes reports over one connection, which is made for the first of them, until it breaks.
func (f *Follower) pushOver(ctx context.Context, addr string) error {
	var c net.Conn
	var r *bufio.Reader
	gap := time.NewTimer(0)
	defer gap.Stop()
	for {
		select {
		case <-f.Outcomes.Arrived():
		case <-ctx.Done():
			return ctx.Err()
		}
		reports := f.Outcomes.Take()
		if len(reports) == 0 {
			continue
		}
		if c == nil {
			var err error
			if c, err = f.dial(addr); err != nil {
				return err
			}
			defer c.Close()
			stop := context.AfterFunc(ctx, func() { c.Close() })
			defer stop()
			r = bufio.NewReaderSize(c, 512)
		}
		if err := f.pushOnce(c, r, reports); err != nil {
			return err
		}
		gap.Reset(pushPause)
		select {
		case <-gap.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// pushOnce pushes reports and waits until they are taken.
func (f *Follower) pushOnce(c net.Conn, r *bufio.Reader, reports []OutcomeReport) error {
	_ = c.SetDeadline(time.Now().Add(f.Silence))
	// A source of an older version takes it for a pull: it is to send nothing that is had.
	if err := WriteFrame(c, &Request{From: f.Name, Have: f.pushHave(), Outcomes: reports, Push: true}); err != nil {
		return err
	}
	var n Response
	return ReadFrame(r, &n)
}

// pushHave is a vector that no source goes beyond.
func (f *Follower) pushHave() map[string]Version {
	newest := Version{Epoch: ^uint64(0), Count: ^uint64(0)}
	return map[string]Version{SourceConfig: newest, SourceList: newest, SourceCrowd: newest, SourceCore: newest, SourceGauges: newest, SourceEjections: newest}
}
