package agent

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"molepaddle/internal/core"
	"molepaddle/internal/decide/routes"
	"molepaddle/internal/process/config"
	"molepaddle/internal/process/keys"
	"molepaddle/internal/process/operator"
	"molepaddle/internal/protocol/gateway"
)

// gate is what makes an agent an end of links: a core for each far site, the far end's
// listener, and the routes between them. It is the front end's handler.
type gate struct {
	name   string
	own    *core.Core
	ids    *core.IDs
	sites  map[string]*farSite
	order  []string
	far    *gateway.Receiver // nil: it is no far end
	links  Network
	keys   *keys.Store // nil: plain
	table  atomic.Pointer[routes.Table]
	advice time.Duration
	last   time.Duration // how long a request may be open
	once   sync.Once
}

// farSite is the near end of the links to a site, with the core that sends there.
type farSite struct {
	link *gateway.Sender
	core *core.Core
}

func newGate(ctx context.Context, c *config.Config, o *operator.Gateway, network Network, own *core.Core, ids *core.IDs, promised gateway.Promises, log *slog.Logger) (*gate, error) {
	g := &gate{name: o.Name, own: own, ids: ids, sites: map[string]*farSite{}, links: network, last: core.MaxRequestDuration(&c.Settings)}
	if c.Settings.Limits.RetryAfter {
		g.advice = ms(c.Settings.Limits.MaxRetryAfterMs)
	}
	if !o.Plain {
		var err error
		if g.keys, err = keys.Load(keys.Files(o.Keys)); err != nil {
			return nil, fmt.Errorf("operator: gateway.keys: %w", err)
		}
		if g.keys.Name() != o.Name {
			return nil, fmt.Errorf("operator: gateway.name: the certificate is %q's", g.keys.Name())
		}
		if left := time.Until(g.keys.Until()); left < keys.Warn {
			log.Warn("the gateway's certificate ends soon", "days", int(left.Hours()/24))
		}
	}
	if err := g.route(c, o); err != nil {
		return nil, err
	}
	times := gateway.Times{HeartbeatInterval: time.Duration(o.Beat), StallAfter: time.Duration(o.StallAfter), DeadAfter: time.Duration(o.DeadAfter),
		RedialMin: time.Duration(o.RedialMin), RedialMax: time.Duration(o.RedialMax)}
	var names []string
	for i := range c.Settings.Classes {
		names = append(names, c.Settings.Classes[i].Name)
	}
	limits, err := o.Limits(names)
	if err != nil {
		return nil, fmt.Errorf("operator: gateway.%w", err)
	}
	for i, s := range o.Sites {
		so := gateway.SenderOptions{Name: o.Name, Site: s.Name, Conns: o.Links, Limits: limits, Times: times, Settings: &c.Settings, ProofWithin: time.Duration(s.ProofWithin),
			Dial: network.Dial, Seed: c.Seed + uint64(i) + 1, Log: log}
		for _, p := range s.Peers {
			so.Peers = append(so.Peers, gateway.Peer(p))
		}
		if g.keys != nil {
			so.TLS = g.keys.Client
		}
		site, err := gateway.NewSender(ctx, so)
		if err != nil {
			return nil, err
		}
		k, err := core.New(ctx, core.Options{Settings: site.Settings(), Seed: c.Seed ^ uint64(i+1), InitialList: site.Known(),
			MaxOpen: openRequests(c.Limits.Sockets), QueueLength: 4 * c.Limits.Sockets, Transport: site, RosterAddr: s.Name,
			NewRoster: site.NewRoster, Log: log.With("site", s.Name), IDs: ids})
		if err != nil {
			return nil, err
		}
		g.sites[s.Name] = &farSite{site, k}
		g.order = append(g.order, s.Name)
	}
	if o.Listen != "" {
		fo := gateway.ReceiverOptions{Name: o.Name, Core: own, Settings: &c.Settings, Classes: c.Classes, Tenants: c.Tenants, Peers: o.Peers,
			Crossings: o.Crossings, Bytes: int64(o.BytesMB) << 20, Conns: o.Conns, PerSecond: o.Greetings, Times: times, Seed: c.Seed, Log: log, Promises: promised}
		if g.keys != nil {
			fo.TLS = func() *tls.Config { return g.keys.Server() }
		}
		g.far = gateway.NewReceiver(fo)
	}
	return g, nil
}

// route takes a routing table into use.
func (g *gate) route(c *config.Config, o *operator.Gateway) error {
	var classes []string
	for name := range c.Classes {
		classes = append(classes, name)
	}
	t, err := o.Table(classes)
	if err != nil {
		return fmt.Errorf("operator: gateway.%w", err)
	}
	g.table.Store(t)
	return nil
}

// reload takes new routes and certificates. Links that are up stay up with the old ones.
func (g *gate) reload(c *config.Config, o *operator.Gateway) error {
	if g.keys != nil {
		if err := g.keys.Reload(); err != nil {
			return fmt.Errorf("operator: gateway.keys: %w", err)
		}
	}
	return g.route(c, o)
}

// run opens the links; the function that it returns ends them, when the front end has taken
// its last request and ctx is over.
func (g *gate) run(ctx context.Context) (end func()) {
	for _, name := range g.order {
		s := g.sites[name]
		go s.core.Run()
		s.link.Run()
	}
	if g.far != nil && g.links.Links != nil {
		go func() { _ = g.far.Serve(g.links.Links) }()
		context.AfterFunc(ctx, g.far.Drain)
	}
	return func() {
		if g.far != nil {
			wait, cancel := context.WithTimeout(context.Background(), g.last)
			defer cancel()
			g.far.WaitIdle(wait)
		}
		g.close()
	}
}

// crossings are those that have no verdict.
func (g *gate) crossings() (n int) {
	for _, s := range g.sites {
		n += s.link.InFlight()
	}
	if g.far != nil {
		n += g.far.InFlight()
	}
	return n
}

// avoid has the near ends leave gateways alone that a view of the fleet speaks against.
func (g *gate) avoid(names []string) {
	for _, s := range g.sites {
		s.link.Avoid(names)
	}
}

// close ends all links at once.
func (g *gate) close() {
	g.once.Do(func() {
		if g.links.Links != nil {
			g.links.Links.Close()
		}
		for _, s := range g.sites {
			s.link.Close()
		}
		if g.far != nil {
			g.far.Close()
		}
	})
}

// at is the handler of a site.
func (g *gate) at(site string) *core.Core {
	if s := g.sites[site]; s != nil {
		return s.core
	}
	return g.own
}

// Ready tells whether any site can be sent to.
func (g *gate) Ready() bool {
	for _, s := range g.sites {
		if s.core.Ready() {
			return true
		}
	}
	return g.own.Ready()
}

// Do brings a request to the first site of its route that can be reached; where none can,
// it is refused at once.
func (g *gate) Do(ctx context.Context, r *core.Request) core.Answer {
	class := ""
	if set := g.own.Classes(); r.Class < len(set) {
		class = set[r.Class].Name
	}
	site, err := routes.FirstReady(g.table.Load().Sites(class, r.Message.Target, r.ID), func(s string) bool { return g.at(s).Ready() })
	if err != nil {
		if !g.ids.Add(r.ID) {
			return core.Answer{Outcome: core.Duplicate}
		}
		return core.Answer{Outcome: core.Refused, RetryAfter: g.advice}
	}
	return g.at(site).Do(ctx, r)
}
