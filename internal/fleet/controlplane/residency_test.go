package controlplane

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/replication"
	"molepaddle/internal/fleet/residencyreport"
	"molepaddle/internal/fleet/settings"
)

// testTimeout bounds the wait for events that must happen.
const testTimeout = 20 * time.Second

// newSoloServer returns a control server that is the only member of its core, without its network.
func newSoloServer(c *qt.C) *Server {
	n := uint64(0)
	set := settings.Settings{
		NodeName:  "core-1",
		IP:        "127.0.0.1",
		Zone:      "z",
		Region:    "east",
		Zones:     map[string]string{"z": "east"},
		Ports:     [2]int{7, 10},
		Seeds:     []string{"127.0.0.1:9"},
		Bootstrap: true,
		DataDir:   c.TempDir(),
		Bind:      settings.Bind{Control: "127.0.0.1:9"},
		Bounds:    settings.Bounds{Sync: time.Second},
	}
	random := func() uint64 {
		n++
		return n
	}
	server, err := New(set, zap.NewNop(), random)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		server.drive(ctx)
	}()
	c.Cleanup(func() {
		cancel()
		<-ended
		c.Check(server.storage.Close(), qt.IsNil)
	})
	over := time.After(testTimeout)
	for {
		st, changed := server.watch()
		if st.Role == replication.Primary && st.Ready {
			return server
		}
		select {
		case <-changed:
		case <-over:
			c.Fatal("the server did not become primary in time")
		}
	}
}

// call makes an operator call.
func call(server *Server, method, target string, body []byte) (int, http.Header, externalapi.ResidencyReport) {
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(context.Background(), method, target, bytes.NewReader(body))
	r.Header.Set(externalapi.HeaderBaseVersion, "0")
	server.handler().ServeHTTP(w, r)
	var report externalapi.ResidencyReport
	_ = json.Unmarshal(w.Body.Bytes(), &report)
	return w.Code, w.Header(), report
}

func batchOf(p residencyreport.Process, n uint64, pair residencyreport.Pair) residencyreport.Batch {
	entry := residencyreport.Entry{
		Pair:   pair,
		First:  1000,
		Last:   1500 + int64(n),
		Counts: residencyreport.Counts{Decodes: 2},
	}
	return residencyreport.Batch{Process: p, N: n, Entries: []residencyreport.Entry{entry}}
}

var (
	labs = residencyreport.Pair{Tenant: "labs", Region: "east"}
	road = residencyreport.Pair{Route: "r/1", Region: "east"}
)

// awaitRows waits until a server shows the given number of rows of the residency record.
func awaitRows(c *qt.C, server *Server, rows int) externalapi.ResidencyReport {
	over := time.After(testTimeout)
	for {
		status, _, report := call(server, http.MethodGet, "/molepaddle/residency", nil)
		if c.Check(status, qt.Equals, http.StatusOK); len(report.Rows) == rows {
			return report
		}
		select {
		case <-over:
			c.Fatal("the residency record was not written in time")
		default:
		}
	}
}

// TestResidencyIsRecordedAndShown checks that received batches are committed, shown and acknowledged, and don't affect
// the operator's configuration.
func TestResidencyIsRecordedAndShown(t *testing.T) {
	c := qt.New(t)
	server := newSoloServer(c)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		server.recordResidency(ctx)
	}()
	defer func() { cancel(); <-ended }()
	server.ResidencyInterval = testTimeout // before the first batch arrives

	status, _, report := call(server, http.MethodGet, "/molepaddle/residency", nil)
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(report, qt.DeepEquals, externalapi.ResidencyReport{Rows: []externalapi.ResidencyRow{}})
	for _, target := range []string{"/molepaddle/residency?tenant=labs", "/molepaddle/residency?route=r%2F1"} {
		status, _, _ = call(server, http.MethodGet, target, nil)
		c.Assert(status, qt.Equals, http.StatusNotFound)
	}
	server.cache.Residency.Put(batchOf(1, 1, labs))
	server.cache.Residency.Put(batchOf(2, 1, road))
	report = awaitRows(c, server, 2)
	at := func(ms int64) time.Time { return time.UnixMilli(ms).UTC() }
	c.Assert(report.Rows, qt.DeepEquals, []externalapi.ResidencyRow{
		{Route: "r/1", Region: "east", First: at(1000), Last: at(1501), Decodes: 2},
		{Tenant: "labs", Region: "east", First: at(1000), Last: at(1501), Decodes: 2}})
	for target, want := range map[string]int{"tenant=labs": 1, "route=r%2F1": 0, "tenant=r%2F1": -1, "tenant=": 2} {
		status, _, one := call(server, http.MethodGet, "/molepaddle/residency?"+target, nil)
		if want < 0 {
			c.Check(status, qt.Equals, http.StatusNotFound)
			continue
		}
		c.Check(status, qt.Equals, http.StatusOK)
		if want < 2 {
			c.Check(one.Rows, qt.DeepEquals, []externalapi.ResidencyRow{report.Rows[want]}, qt.Commentf("%s", target))
		}
	}
	// Seq is a bound from below: a residency write that was committed while it was asked for counts in the next
	// answer's.
	_, _, report = call(server, http.MethodGet, "/molepaddle/residency", nil)
	seq := report.Seq
	// The first configuration follows on no other, whatever residency was recorded before.
	status, _, _ = call(server, http.MethodPost, externalapi.CallReplace.Path, []byte(`{"ver":3,"routing":[{"name":"r",`+
		`"hostname":"h","pfx":"/","kind":"readonly","deadline_ms":1000,"svc":"s","tenant":"new"}],`+
		`"tenants":[{"name":"new","regions":["east"]}],"svcs":[{"name":"s","probe":"/healthz"}]}`))
	c.Assert(status, qt.Equals, http.StatusOK)
	version, ok := server.cache.Version("config")
	c.Assert(ok, qt.IsTrue)
	c.Assert(version.Count, qt.Equals, seq+1)
	status, _, report = call(server, http.MethodGet, "/molepaddle/residency?tenant=new", nil)
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(report.Rows, qt.HasLen, 0)
}

// TestResidencyNotCommitted checks that a batch is acknowledged only if a committed state contains it.
func TestResidencyNotCommitted(t *testing.T) {
	c := qt.New(t)
	server := newSoloServer(c)
	first := batchOf(1, 1, labs)
	server.cache.Residency.Put(first)
	c.Assert(server.hasNewPairs([]residencyreport.Batch{first}), qt.IsTrue)
	c.Assert(server.commitResidency(c.Context(), []residencyreport.Batch{first}), qt.IsFalse)
	c.Assert(server.cache.Residency.PendingOf(1), qt.Equals, 0)
	c.Assert(server.hasNewPairs([]residencyreport.Batch{first, batchOf(1, 2, labs)}), qt.IsFalse)
	c.Assert(server.hasNewPairs([]residencyreport.Batch{first, batchOf(1, 2, road)}), qt.IsTrue)

	// The state is ahead of the committed one: nothing is proposed on top of it, and nothing is acknowledged.
	var committed *residencyreport.Totals
	runInDriver(server, func() { committed, server.state.residency = server.state.residency, nil })
	second := batchOf(1, 2, labs)
	server.cache.Residency.Put(second)
	c.Assert(server.commitResidency(c.Context(), []residencyreport.Batch{second}), qt.IsTrue)
	c.Assert(server.cache.Residency.PendingOf(1), qt.Equals, 1)
	runInDriver(server, func() { server.state.residency = committed })
	c.Assert(server.commitResidency(c.Context(), []residencyreport.Batch{second}), qt.IsFalse)
	c.Assert(server.cache.Residency.PendingOf(1), qt.Equals, 0)
	c.Assert(server.committed.Load().residency.Report(nil)[0].Counts.Decodes, qt.Equals, int64(4))
}

// runInDriver runs a function in the driver's goroutine, to which the state belongs.
func runInDriver(server *Server, do func()) {
	done := make(chan struct{})
	server.inputs <- func(now time.Duration) replication.Output {
		do()
		close(done)
		return server.replica.Tick(now)
	}
	<-done
}

// TestResidencyIsRedirected checks that a machine that isn't the primary redirects callers, including the query, once
// the primary of its view has contacted it.
func TestResidencyIsRedirected(t *testing.T) {
	c := qt.New(t)
	server := newSoloServer(c)
	const epoch = 9
	server.status.Store(&replication.Status{
		Role:        replication.Backup,
		Ready:       true,
		Epoch:       epoch,
		PrimaryAddr: "127.0.0.2:7",
	})
	status, _, _ := call(server, http.MethodGet, "/molepaddle/residency?tenant=a%2Fb+c", nil)
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("its primary has not contacted it"))
	server.contact.renew(epoch, time.Now().Add(time.Minute)) // after the call arrives
	status, header, _ := call(server, http.MethodGet, "/molepaddle/residency?tenant=a%2Fb+c", nil)
	c.Assert(status, qt.Equals, http.StatusTemporaryRedirect)
	c.Assert(header.Get("Location"), qt.Equals, "http://127.0.0.2:9/molepaddle/residency?tenant=a%2Fb+c")
	server.status.Store(&replication.Status{Role: replication.Backup, Epoch: epoch + 1})
	status, header, _ = call(server, http.MethodGet, "/molepaddle/residency", nil)
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(header.Get(externalapi.HeaderRetryAfter), qt.Not(qt.Equals), "")
}
