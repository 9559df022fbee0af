package simulation

import (
	"os"
	"os/exec"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestQuota: a process that only computes gets its share of a core, and is stopped for the rest of each period.
func TestQuota(t *testing.T) {
	c := qt.New(t)
	p := &Program{cmd: exec.Command("sh", "-c", "while :; do :; done"), out: &output{}, done: make(chan struct{})}
	c.Assert(p.cmd.Start(), qt.IsNil)
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	defer p.Kill()
	began := time.Now()
	first, ok := processorTime(p.cmd.Process.Pid)
	c.Assert(ok, qt.IsTrue)
	q := StartQuota(p, 0.2)
	over := time.NewTimer(12 * quotaPeriod)
	defer over.Stop()
	<-over.C
	last, ok := processorTime(p.cmd.Process.Pid)
	c.Assert(ok, qt.IsTrue)
	took := time.Since(began)
	stats := q.Stop()
	c.Check(stats.Stalls > 0, qt.IsTrue)
	c.Check(stats.Longest < quotaPeriod+quotaPeriod/2, qt.IsTrue, qt.Commentf("%+v", stats))
	share := float64(last-first) / float64(took)
	c.Check(share < 0.35, qt.IsTrue, qt.Commentf("it used %.2f of a core", share))
	c.Check(last > first, qt.IsTrue)
	_, ok = processorTime(os.Getpid())
	c.Check(ok, qt.IsTrue)
}
