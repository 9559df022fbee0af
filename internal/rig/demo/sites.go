package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"molepaddle/internal/process/operator"
	"molepaddle/internal/rig/standin"
	"molepaddle/internal/rig/wan"
)

// farGateway is a gateway of the far site, with the network that leads to it.
type farGateway struct {
	name string
	net  *wan.Net
	kill func()
}

const (
	oneWay = 8 * time.Millisecond // between the sites
	jitter = 4 * time.Millisecond
	stall  = 600 * time.Millisecond
)

// sites plays the second scene: a portal at one site, the order servers at another, one near
// gateway and two far ones with a slow network between; the network stalls while a server
// drains, and a far gateway is killed with orders in flight.
func sites(ctx context.Context, out io.Writer) error {
	here, err := standin.NewRoster()
	if err != nil {
		return err
	}
	defer here.Close()
	there, err := standin.NewRoster()
	if err != nil {
		return err
	}
	defer there.Close()
	var servers []*standin.Server
	for i := range 3 {
		s, err := standin.NewServer(fmt.Sprint("far-server-", i+1), 4*time.Millisecond)
		if err != nil {
			return err
		}
		defer s.Close()
		servers = append(servers, s)
		there.Set(s.Host("here", "plain", "ready"))
	}
	var far []*farGateway
	for i := range 2 {
		g, err := startFar(ctx, fmt.Sprint("gateway-", i+1), uint64(i), there)
		if err != nil {
			return err
		}
		defer g.net.Close()
		defer g.kill()
		far = append(far, g)
	}
	base, stop, err := start(ctx, here, nearFile(far), nil)
	if err != nil {
		return err
	}
	defer stop()
	p := newPortal(base, "far")
	defer p.client.CloseIdleConnections()
	if err := p.untilReady(ctx); err != nil {
		return err
	}
	fmt.Fprintf(out, "\ntwo sites, %v to %v apart: a portal and a gateway here, two gateways and three order servers there\n", oneWay, oneWay+jitter)
	t := newTally(out, servers)
	t.scene("orders cross:", p.ask(ctx, act))
	told := time.Now()
	for _, g := range far {
		g.net.Stall(wan.There, wan.Back)
	}
	move := time.AfterFunc(stall, func() {
		for _, g := range far {
			g.net.Move(wan.There, wan.Back)
		}
	})
	defer move.Stop()
	there.Set(servers[2].Host("here", "plain", "draining"))
	t.scene(fmt.Sprintf("it stalls for %v, 3 drains:", stall), p.ask(ctx, act))
	last := t.lastAfter(servers[2], told)
	fmt.Fprintf(out, "the last request came to far-server-3 %v after its notice\n", last.Round(time.Millisecond))
	kill := time.AfterFunc(act/3, func() {
		far[0].net.Cut()
		far[0].kill()
	})
	defer kill.Stop()
	t.scene("gateway-1 is killed:", p.ask(ctx, act))
	return t.judge(last)
}

func nearFile(far []*farGateway) *operator.Settings {
	o := operator.Default()
	o.Gateway.Name, o.Gateway.Plain = "gateway-0", true
	s := operator.Site{Name: "there"}
	for _, g := range far {
		s.Peers = append(s.Peers, operator.Peer{Name: g.name, Address: g.net.Addr})
	}
	o.Gateway.Sites = []operator.Site{s}
	o.Gateway.Routes = []operator.Route{{To: []string{"there"}}}
	return o
}

// startFar starts a far gateway and the network that leads there.
func startFar(ctx context.Context, name string, seed uint64, roster *standin.Roster) (*farGateway, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	o := operator.Default()
	o.Gateway.Name, o.Gateway.Plain, o.Gateway.Listen, o.Gateway.Peers = name, true, ln.Addr().String(), []string{"gateway-0"}
	g := &farGateway{name: name}
	if _, g.kill, err = start(ctx, roster, o, ln); err != nil {
		return nil, err
	}
	if g.net, err = wan.New(ln.Addr().String(), seed); err != nil {
		g.kill()
		return nil, err
	}
	for _, w := range []wan.Way{wan.There, wan.Back} {
		g.net.Set(w, wan.Path{Delay: oneWay, Jitter: jitter})
	}
	return g, nil
}

// tally counts what came of scenes.
type tally struct {
	out     io.Writer
	servers []*standin.Server
	seen    []int
	all     []result
}

func newTally(out io.Writer, servers []*standin.Server) *tally {
	return &tally{out: out, servers: servers, seen: make([]int, len(servers))}
}

// scene prints what came of one.
func (t *tally) scene(what string, results []result) {
	t.all = append(t.all, results...)
	var share []string
	for i, s := range t.servers {
		n := len(s.Came())
		share = append(share, fmt.Sprintf("%s %d", s.Name, n-t.seen[i]))
		t.seen[i] = n
	}
	served, refused, failed, _ := count(results)
	fmt.Fprintf(t.out, "%-34s %3d served, %d refused, %d failed; came to %s\n", what, served, refused, failed, strings.Join(share, ", "))
}

// lastAfter is how long after a moment the last request came to a server.
func (t *tally) lastAfter(s *standin.Server, told time.Time) (last time.Duration) {
	for _, a := range s.Came() {
		last = max(last, a.At.Sub(told))
	}
	return last
}

func (t *tally) judge(last time.Duration) error { return judge(t.out, t.servers, t.all, last) }
