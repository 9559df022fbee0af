package controlplane

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/replication"
	"molepaddle/internal/fleet/settings"
	"molepaddle/internal/fleet/simulation"
)

// cluster is a core of real control servers on loopback addresses, with a network between them that can be partitioned.
type cluster struct {
	*qt.C
	network *simulation.Network
	ips     []string
	ports   [2]int
	servers map[string]*running // by IP
	changed func(*settings.Settings)
}

// running is a running control server.
type running struct {
	*Server
	set  settings.Settings
	end  context.CancelFunc
	done chan struct{}
}

// newCluster starts a core with the addresses 127.0.net.1 and following, and waits until it has a primary.
func newCluster(t *testing.T, net, members, survive int, change func(*settings.Settings)) *cluster {
	c := &cluster{C: qt.New(t), network: simulation.NewNetwork(t), servers: map[string]*running{}, changed: change}
	for i := range members {
		c.ips = append(c.ips, fmt.Sprintf("127.0.%d.%d", net, i+1))
	}
	span := simulation.ChoosePorts(t, 5, c.ips...)
	c.ports = [2]int{span.First, span.First + 4}
	for _, ip := range c.ips {
		set := settings.Settings{
			NodeName:  ip,
			IP:        ip,
			Zone:      "z",
			Region:    "east",
			Zones:     map[string]string{"z": "east"},
			Ports:     c.ports,
			Heartbeat: 1200 * time.Millisecond,
			Bootstrap: true,
			DataDir:   c.TempDir(),
			Survive:   settings.Survive{Nodes: survive},
		}
		set.Bind.Control = c.control(ip)
		set.Bounds.Sync, set.Bounds.Apply, set.Bounds.Lease = 4*time.Second, 2*time.Second, 3*time.Second
		for _, seed := range c.ips[:min(3, members)] {
			set.Seeds = append(set.Seeds, c.control(seed))
		}
		if change != nil {
			change(&set)
		}
		c.start(set)
	}
	c.primary(c.ips...)
	return c
}

// control returns the address of a machine's operator calls.
func (c *cluster) control(ip string) string {
	return net.JoinHostPort(ip, fmt.Sprint(c.ports[0]+4))
}

// start starts a control server, which is stopped when the test ends.
func (c *cluster) start(set settings.Settings) {
	server, err := New(set, zap.NewNop(), rand.Uint64)
	c.Assert(err, qt.IsNil)
	server.Dial = c.network.Dialer(set.IP)
	ctx, end := context.WithCancel(context.Background())
	one := &running{Server: server, set: set, end: end, done: make(chan struct{})}
	c.servers[set.IP] = one
	_, begun := server.watch()
	go func() {
		defer close(one.done)
		_ = server.Run(ctx)
	}()
	c.Cleanup(one.stop)
	select {
	case <-begun:
	case <-time.After(testTimeout):
		c.Fatalf("control server %s did not start", set.IP)
	}
}

// stop stops a control server; it may be called more than once.
func (r *running) stop() {
	r.end()
	<-r.done
}

// conditionInterval is the interval at which conditions are checked that depend on time alone.
const conditionInterval = 50 * time.Millisecond

// eventually waits until a condition holds. It is checked after each change of one of the servers' status, after each
// renewal of their contact, and every conditionInterval.
func (c *cluster) eventually(what string, holds func() bool, ips ...string) {
	c.Helper()
	over := time.After(testTimeout)
	for {
		var events []<-chan struct{}
		for _, ip := range ips {
			st, changed := c.servers[ip].watch()
			events = append(events, changed, c.servers[ip].contact.forEpoch(st.Epoch).renewed)
		}
		if holds() {
			return
		}
		stop := make(chan struct{})
		one := make(chan struct{}, len(events))
		for _, e := range events {
			go func() {
				select {
				case <-e:
					one <- struct{}{}
				case <-stop:
				}
			}()
		}
		select {
		case <-one:
			close(stop)
		case <-time.After(conditionInterval):
			close(stop)
		case <-over:
			close(stop)
			c.Fatalf("condition not met in time: %s", what)
		}
	}
}

// primary waits until one of the given machines is a confirmed primary, and returns its address.
func (c *cluster) primary(among ...string) string {
	c.Helper()
	found := ""
	c.eventually("a primary", func() bool {
		for _, ip := range among {
			if s := c.servers[ip]; s.isLeader(s.status.Load()) {
				found = ip
				return true
			}
		}
		return false
	}, among...)
	return found
}

// others returns all machines except the given ones.
func (c *cluster) others(than ...string) []string {
	return slices.DeleteFunc(slices.Clone(c.ips), func(ip string) bool { return slices.Contains(than, ip) })
}

// reply is the response to a call.
type reply struct {
	status   int
	location string
	retry    string
	body     string
	took     time.Duration
}

// call sends a call to one machine and doesn't follow redirects.
func (c *cluster) call(ip, method, path string, base string, body []byte) reply {
	c.Helper()
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(c.Context(), method, path, bytes.NewReader(body))
	if base != "" {
		r.Header.Set(externalapi.HeaderBaseVersion, base)
	}
	began := time.Now()
	c.servers[ip].handler().ServeHTTP(w, r)
	return reply{
		status:   w.Code,
		location: w.Header().Get("Location"),
		retry:    w.Header().Get(externalapi.HeaderRetryAfter),
		body:     w.Body.String(),
		took:     time.Since(began),
	}
}

// operator returns an operator client for the given machines.
func (c *cluster) operator(ips ...string) *simulation.Operator {
	operator := &simulation.Operator{}
	for _, ip := range ips {
		operator.Ctl = append(operator.Ctl, c.control(ip))
	}
	return operator
}

// replaceConfig replaces the configuration through the given machines and checks that the change is acknowledged.
func (c *cluster) replaceConfig(base, version uint64, ips ...string) simulation.Reply {
	c.Helper()
	ctx, cancel := context.WithTimeout(c.Context(), testTimeout)
	defer cancel()
	rep, err := c.operator(ips...).Replace(ctx, base, configDocument(version))
	c.Assert(err, qt.IsNil)
	c.Assert(rep.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", rep.Body))
	return rep
}

// configDocument returns a complete configuration.
func configDocument(version uint64) []byte {
	return fmt.Appendf(nil, `{"ver":%d,"routing":[{"name":"r","hostname":"h","pfx":"/","kind":"readonly",`+
		`"deadline_ms":1000,"svc":"s"}],"svcs":[{"name":"s","probe":"/healthz"}],"caps":{}}`, version)
}

// pauseDriver blocks a server's driver, as if its process were suspended, until resume is called.
func (r *running) pauseDriver() (resume func()) {
	asleep, awake := make(chan struct{}), make(chan struct{})
	r.inputs <- func(now time.Duration) replication.Output {
		close(asleep)
		<-awake
		return r.replica.Tick(now)
	}
	<-asleep
	return func() { close(awake) }
}
