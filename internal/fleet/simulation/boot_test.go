package simulation

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
	"github.com/pelletier/go-toml/v2"
)

func hashed(b []byte) uint64 { return xxhash.Sum64(b) }

// bootDoc is the part of a settings file that the tests check.
type bootDoc struct {
	Role      string
	PortRange []int `toml:"port_range"`
	Peers     []string
	DataDir   string `toml:"datadir"`
	NewField  int    `toml:"new_field"`
	Azs       map[string]string
	Bind      struct{ Edge, Readyz, Ctl string }
	Bnds      struct {
		RetryExtra int  `toml:"retry_extra"`
		ApplyMs    int  `toml:"apply_ms"`
		Fencing    bool `toml:"fencing"`
	}
	Caps struct {
		BwMbps float64 `toml:"bw_mbps"`
	}
	Provider struct {
		Address string
		RateS   float64 `toml:"rate_s"`
		DelayMs int     `toml:"delay_ms"`
	}
}

func readBoot(path string) (doc bootDoc, err error) {
	text, err := os.ReadFile(path)
	if err == nil {
		err = toml.Unmarshal(text, &doc)
	}
	return doc, err
}

// TestMain acts as a program when a settings file is set: it serves readyz until SIGTERM.
func TestMain(m *testing.M) {
	path, ok := os.LookupEnv("MOLEPADDLE_CONFIG")
	if !ok {
		os.Exit(m.Run())
	}
	doc, err := readBoot(path)
	if err != nil {
		os.Exit(3)
	}
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	go http.ListenAndServe(doc.Bind.Readyz, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	}))
	<-term
	os.Exit(7)
}

func TestBootWritesTheExample(t *testing.T) {
	c := qt.New(t)
	edge := Boot(t, BootSettings{
		Role: "proxy", Provider: "127.0.0.1:9", Bounds: map[string]any{"apply_ms": 100}, Extra: "new_field = 3",
	})
	doc, err := readBoot(edge.Path)
	c.Assert(err, qt.IsNil)
	c.Assert(doc.Role, qt.Equals, "proxy")
	c.Assert(doc.NewField, qt.Equals, 3)
	c.Assert(doc.Bind.Edge, qt.Equals, edge.Edge)
	c.Assert(doc.Bind.Readyz, qt.Equals, edge.Readyz)
	c.Assert(doc.Bind.Ctl, qt.Equals, "")
	c.Assert(doc.DataDir, qt.Equals, "")
	c.Assert(doc.PortRange, qt.DeepEquals, []int{edge.Ports.First, edge.Ports.Last})
	c.Assert(edge.Ports.Last-edge.Ports.First, qt.Equals, 15)
	c.Assert([]int{doc.Bnds.ApplyMs, doc.Bnds.RetryExtra, doc.Provider.DelayMs}, qt.DeepEquals, []int{100, 54, 800})
	c.Assert([]float64{doc.Caps.BwMbps, doc.Provider.RateS}, qt.DeepEquals, []float64{1000, 42})
	c.Assert(doc.Bnds.Fencing, qt.IsTrue)
	c.Assert(doc.Azs["koto-hall"], qt.Equals, "kanto")

	core := Boot(t, BootSettings{Tier: "core", Peers: []string{"127.0.0.1:1"}})
	doc, err = readBoot(core.Path)
	c.Assert(err, qt.IsNil)
	c.Assert(doc.Bind.Ctl, qt.Equals, core.Ctl)
	c.Assert(doc.Bind.Edge, qt.Equals, "")
	c.Assert(doc.DataDir, qt.Equals, core.DataDir)
	c.Assert(doc.Peers, qt.DeepEquals, []string{"127.0.0.1:1"})

	noRoles := Boot(t, BootSettings{Roles: []string{}})
	c.Assert([]string{noRoles.Edge, noRoles.Readyz, noRoles.Ctl}, qt.DeepEquals, []string{"", "", ""})
}

func TestChosenPortsAreDisjoint(t *testing.T) {
	c := qt.New(t)
	seen := map[int]bool{}
	for range 20 {
		p := ChoosePorts(t, 4)
		for _, port := range []int{p.Edge, p.Readyz, p.Ctl, p.First, p.First + 1, p.First + 2, p.Last} {
			c.Assert(seen[port], qt.IsFalse)
			seen[port] = true
		}
	}
}

func TestExec(t *testing.T) {
	c := qt.New(t)
	boot := Boot(t, BootSettings{})
	self, err := os.Executable()
	c.Assert(err, qt.IsNil)
	p := Exec(t, boot, self)
	ctx, cancel := context.WithTimeout(c.Context(), 20*time.Second)
	defer cancel()
	c.Assert(AwaitReady(ctx, boot.Readyz), qt.IsNil)
	c.Assert(AwaitListening(ctx, boot.Readyz), qt.IsNil)
	p.Signal(syscall.SIGTERM)
	code, err := p.Wait(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(code, qt.Equals, 7)
}

func TestAwaitReadyEnds(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(c.Context(), 30*time.Millisecond)
	defer cancel()
	c.Assert(AwaitReady(ctx, "127.0.0.1:1"), qt.ErrorMatches, "not ready: .*deadline exceeded")
}
