package controlplane

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/replication"
	"molepaddle/internal/fleet/routingconfig"
)

// stallAtTakeover takes over a server's driver loop until this machine is a confirmed primary and a change that isn't
// published yet is committed. It then adds a write that never succeeds to the driver's output. onAppend is called,
// before anything is sent, after each input that extended the log. The returned channel is closed when that output is
// passed to the driver.
func (r *running) stallAtTakeover(ctx context.Context, onAppend func()) (stalled <-chan struct{}) {
	c := make(chan struct{})
	r.inputs <- func(now time.Duration) replication.Output {
		out := r.replica.Tick(now)
		for {
			_, confirmed := r.replica.LastBackupContact()
			if confirmed && out.Committed > r.committed.Load().seq {
				_ = r.storage.Close()
				out.Write = &replication.Write{Vote: &replication.Vote{}}
				close(c)
				return out
			}
			r.processOutput(ctx, &out)
			seq := r.replica.Status().Seq
			select {
			case in := <-r.inputs:
				out = in(time.Since(r.start))
			case <-time.After(max(r.replica.NextTick()-time.Since(r.start), 0)):
				out = r.replica.Tick(time.Since(r.start))
			case <-ctx.Done():
				return replication.Output{}
			}
			if r.replica.Status().Seq > seq {
				onAppend()
			}
		}
	}
	return c
}

// pulledConfig pulls all resources from a control server, as a node agent with an empty cache does. It returns the
// version of the configuration and the time at which the response claims it to be the newest; zero: never.
func (c *cluster) pulledConfig(ip string) (version int64, contact time.Time) {
	c.Helper()
	conn, err := net.Dial("tcp", distribution.PullAddr(ip, c.ports))
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	sent := time.Now()
	c.Assert(distribution.WriteFrame(conn, &distribution.Request{From: "edge"}), qt.IsNil)
	var response distribution.Response
	c.Assert(distribution.ReadFrame(bufio.NewReader(conn), &response), qt.IsNil)
	if response.LastContactMs >= 0 {
		contact = sent.Add(-time.Duration(response.LastContactMs) * time.Millisecond)
	}
	for i := range response.Resources {
		resource := &response.Resources[i]
		if resource.Type != distribution.ConfigType {
			continue
		}
		doc, findings := routingconfig.Decode(resource.Snapshot)
		c.Assert(findings.Err(), qt.IsNil)
		for _, change := range resource.Changes {
			c.Assert(change.Replace, qt.IsTrue)
			doc, findings = routingconfig.Replace(doc, change.Body)
			c.Assert(findings.Err(), qt.IsNil)
		}
		version = doc.Version()
	}
	return version, contact
}

// TestContactFollowsPublication guards against a new primary that claims fresh contact before it has published all
// acknowledged changes: a backup has a change but doesn't know that it is committed, becomes the primary, and its disk
// stalls between the view's confirmation and the publication. Its responses must not claim that the older configuration
// was the newest after the acknowledgement: proxies would continue to accept keys that the change removed.
func TestContactFollowsPublication(t *testing.T) {
	c := newCluster(t, 46, 3, 1, nil)
	c.replaceConfig(0, 5, c.ips...)
	old := c.primary(c.ips...)
	st := c.servers[old].status.Load()
	c.Assert(st.View.Backups, qt.HasLen, 1)
	next := ""
	for _, m := range st.View.Members {
		if m.ID == st.View.Backups[0] {
			host, _, err := net.SplitHostPort(m.Addr)
			c.Assert(err, qt.IsNil)
			next = host
		}
	}
	c.eventually("the backup has published the first configuration", func() bool {
		committed := c.servers[next].committed.Load()
		return committed != nil && versionOf(committed.doc) == 5
	}, next)
	// After the change the backup receives nothing more from the primary: neither the commit nor publications.
	stalled := c.servers[next].stallAtTakeover(c.Context(), func() { c.network.Cut(old, next) })
	c.replaceConfig(5, 7, old)
	acknowledged := time.Now()
	select {
	case <-stalled:
	case <-time.After(testTimeout):
		c.Fatal("the backup did not take over in time")
	}
	for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		version, contact := c.pulledConfig(next)
		c.Assert(version, qt.Equals, int64(5), qt.Commentf("the disk did not stall"))
		c.Assert(contact.Before(acknowledged), qt.IsTrue, qt.Commentf(
			"version 5 is claimed to be the newest %v after version 7 was acknowledged", contact.Sub(acknowledged)))
	}
}
