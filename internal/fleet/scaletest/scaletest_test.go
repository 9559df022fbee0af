package scaletest

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/replication"
	"molepaddle/internal/fleet/routingconfig"
)

func TestDocumentsAreValid(t *testing.T) {
	c := qt.New(t)
	b, err := json.Marshal(newDocument(1, 200))
	c.Assert(err, qt.IsNil)
	d, found := routingconfig.Decode(b)
	c.Assert(found.Err(), qt.IsNil)
	c.Assert(d.NumRoutes(), qt.Equals, 200)
	var up change
	up.Version = 2
	up.Upsert.Routes = []routeItem{route(3, 5)}
	b, err = json.Marshal(up)
	c.Assert(err, qt.IsNil)
	d, found = routingconfig.Update(d, b)
	c.Assert(found.Err(), qt.IsNil)
	c.Assert(d.NumRoutes(), qt.Equals, 200)
	c.Assert(d.Version(), qt.Equals, int64(2))
}

func TestPlatformServesPages(t *testing.T) {
	c := qt.New(t)
	want := Backends(120)
	p, err := StartPlatform(Backends(120), 50)
	c.Assert(err, qt.IsNil)
	defer p.Close()
	client := externalapi.NewPlatformClient(p.Address(), time.Second)
	got, calls, err := client.List(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(calls, qt.Equals, 3)
	externalapi.SortByID(&got)
	c.Assert(got, qt.DeepEquals, want)
	p.ToggleDraining(7)
	want.Backends[7].Draining = true
	got, _, err = client.List(context.Background())
	c.Assert(err, qt.IsNil)
	externalapi.SortByID(&got)
	c.Assert(got, qt.DeepEquals, want)
}

// TestAgentGroupReportsEvents serves versions to an agent group from a real cache, and expects an event for each
// version and one after the command "mark".
func TestAgentGroupReportsEvents(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	s := distribution.NewCache()
	s.RecordContact("primary", time.Now())
	s.SetSnapshot(distribution.ConfigType, distribution.Version{Count: 1}, []byte("one"))
	go distribution.Serve(ctx, ln, "o", s, time.Second, func() (time.Time, string) {
		s.RecordContact("primary", time.Now())
		return s.LastContact()
	})
	in, commands := io.Pipe()
	events, out := io.Pipe()
	ended := make(chan error, 1)
	group := AgentGroup{
		Count:     5,
		Addresses: []string{ln.Addr().String()},
		Heartbeat: 50 * time.Millisecond,
		Apply:     2 * time.Second,
	}
	go func() { ended <- group.Run(ctx, in, out) }()
	read := json.NewDecoder(events)
	next := func() (e Event) {
		c.Assert(read.Decode(&e), qt.IsNil)
		c.Assert(e.At, qt.HasLen, 5)
		e.At = nil
		return e
	}
	c.Assert(next(), qt.DeepEquals, Event{Type: distribution.ConfigType, Count: 1})
	s.AppendChange(distribution.ConfigType, distribution.Version{Count: 1}, distribution.Version{Count: 2}, distribution.Change{Version: distribution.Version{Count: 2}, Body: []byte("two")}, func() []byte { return []byte("whole") })
	c.Assert(next(), qt.DeepEquals, Event{Type: distribution.ConfigType, Count: 2})
	s.SetSnapshot(distribution.BackendListType, distribution.Version{Epoch: 3, Count: 4}, []byte("list"))
	c.Assert(next(), qt.DeepEquals, Event{Type: distribution.BackendListType, Epoch: 3, Count: 4})
	_, err = io.WriteString(commands, "mark\n")
	c.Assert(err, qt.IsNil)
	c.Assert(next(), qt.DeepEquals, Event{Type: eventBack})
	c.Assert(s.Members(time.Now(), time.Minute), qt.HasLen, 5)
	c.Assert(commands.Close(), qt.IsNil)
	c.Assert(<-ended, qt.IsNil)
}

func TestUsage(t *testing.T) {
	c := qt.New(t)
	before, err := ReadUsage(os.Getpid())
	c.Assert(err, qt.IsNil)
	c.Assert(before.CPU > 0 && before.Resident > 0 && before.Peak >= before.Resident, qt.IsTrue)
	r, w, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	defer r.Close()
	defer w.Close()
	_, err = w.Write(make([]byte, 4096))
	c.Assert(err, qt.IsNil)
	after, err := ReadUsage(os.Getpid())
	c.Assert(err, qt.IsNil)
	c.Assert(after.Written-before.Written >= 4096, qt.IsTrue)
	_, err = ReadUsage(-1)
	c.Assert(err, qt.IsNotNil)
}

func TestTrialValidation(t *testing.T) {
	good := Trial{Agents: 10, AgentProcesses: 2, Backends: 10, Routes: 10, Page: 50, Rate: 42, Heartbeat: time.Second, Apply: 2 * time.Second, IdleDuration: time.Second, WaitTimeout: time.Second}
	qt.Assert(t, good.validate(), qt.IsNil)
	for name, spoil := range map[string]func(t *Trial){
		"agents": func(t *Trial) { t.Agents = MaxAgents + 1 }, "crews": func(t *Trial) { t.AgentProcesses = 11 }, "backends": func(t *Trial) { t.Backends = 0 },
		"routes": func(t *Trial) { t.Routes = MaxRoutes + 1 }, "page": func(t *Trial) { t.Page = 0 }, "within": func(t *Trial) { t.WaitTimeout = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			bad := good
			spoil(&bad)
			qt.Assert(t, bad.validate(), qt.IsNotNil)
		})
	}
}

// TestWatchRole pins the log line from which the role of a control server is read.
func TestWatchRole(t *testing.T) {
	c := qt.New(t)
	p := &process{}
	watchRole(p, []byte("no JSON\n"))
	watchRole(p, []byte(`{"level":"info","msg":"view changed","epoch":3,"role":"primary","ready":true}`+"\n"))
	c.Assert(p.role, qt.Equals, replication.Primary.String())
	watchRole(p, []byte(`{"level":"info","msg":"configuration committed","role":"witness"}`+"\n"))
	c.Assert(p.role, qt.Equals, replication.Primary.String())
}
