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

// gatewayEnd makes an agent an end of links: it has a core for each far site, the far end's listener and the routing
// table. It is the handler of the front ends.
type gatewayEnd struct {
	name               string
	localCore          *core.Core
	ids                *core.IDs
	sites              map[string]*farSite
	siteOrder          []string
	farEnd             *gateway.Receiver // nil: not a far end
	links              Network
	keys               *keys.Store // nil: no TLS
	table              atomic.Pointer[routes.Table]
	retryAfter         time.Duration
	maxRequestDuration time.Duration // longest time that a request may be open
	closeOnce          sync.Once
}

// farSite is the near end of the links to a site, with the core that sends requests there.
type farSite struct {
	link *gateway.Sender
	core *core.Core
}

func newGatewayEnd(ctx context.Context, c *config.Config, o *operator.Gateway, network Network, own *core.Core,
	ids *core.IDs, promised gateway.Promises, log *slog.Logger) (*gatewayEnd, error) {
	g := &gatewayEnd{name: o.Name, localCore: own, ids: ids, sites: map[string]*farSite{}, links: network,
		maxRequestDuration: core.MaxRequestDuration(&c.Settings)}
	if c.Settings.Limits.RetryAfter {
		g.retryAfter = ms(c.Settings.Limits.MaxRetryAfterMs)
	}
	if !o.Plain {
		var err error
		if g.keys, err = keys.Load(keys.Files(o.Keys)); err != nil {
			return nil, fmt.Errorf("operator: gateway.keys: %w", err)
		}
		if g.keys.Name() != o.Name {
			return nil, fmt.Errorf("operator: gateway.name: the certificate's name is %q", g.keys.Name())
		}
		if left := time.Until(g.keys.NotAfter()); left < keys.ExpiryWarning {
			log.Warn("the gateway's certificate expires soon", "days", int(left.Hours()/24))
		}
	}
	if err := g.route(c, o); err != nil {
		return nil, err
	}
	times := gateway.Times{HeartbeatInterval: time.Duration(o.HeartbeatInterval), StallAfter: time.Duration(o.StallAfter),
		DeadAfter: time.Duration(o.DeadAfter),
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
		so := gateway.SenderOptions{Name: o.Name, Site: s.Name, Conns: o.Links, Limits: limits, Times: times,
			Settings: &c.Settings, ProofWithin: time.Duration(s.ProofWithin),
			Dial: network.Dial, Seed: c.Seed + uint64(i) + 1, Log: log}
		for _, p := range s.Peers {
			so.Peers = append(so.Peers, gateway.Peer(p))
		}
		if g.keys != nil {
			so.TLS = g.keys.ClientConfig
		}
		site, err := gateway.NewSender(ctx, so)
		if err != nil {
			return nil, err
		}
		k, err := core.New(ctx, core.Options{Settings: site.Settings(), Seed: c.Seed ^ uint64(i+1),
			InitialList: site.Known(),
			MaxOpen:     maxOpenRequests(c.Limits.Sockets), QueueLength: 4 * c.Limits.Sockets, Transport: site,
			RosterAddr: s.Name,
			NewRoster:  site.NewRoster, Log: log.With("site", s.Name), IDs: ids})
		if err != nil {
			return nil, err
		}
		g.sites[s.Name] = &farSite{site, k}
		g.siteOrder = append(g.siteOrder, s.Name)
	}
	if o.Listen != "" {
		fo := gateway.ReceiverOptions{Name: o.Name, Core: own, Settings: &c.Settings, Classes: c.Classes,
			Tenants: c.Tenants, Peers: o.Peers,
			Crossings: o.Crossings, Bytes: int64(o.BytesMB) << 20, Conns: o.Connections, PerSecond: o.HandshakeRate,
			Times: times, Seed: c.Seed, Log: log, Promises: promised}
		if g.keys != nil {
			fo.TLS = func() *tls.Config { return g.keys.ServerConfig() }
		}
		g.farEnd = gateway.NewReceiver(fo)
	}
	return g, nil
}

// route replaces the routing table.
func (g *gatewayEnd) route(c *config.Config, o *operator.Gateway) error {
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

// reload applies new routes and certificates. Established links keep the old certificates.
func (g *gatewayEnd) reload(c *config.Config, o *operator.Gateway) error {
	if g.keys != nil {
		if err := g.keys.Reload(); err != nil {
			return fmt.Errorf("operator: gateway.keys: %w", err)
		}
	}
	return g.route(c, o)
}

// run opens the links. The function that it returns closes them; it is called when the front end has accepted its
// last request and ctx has ended.
func (g *gatewayEnd) run(ctx context.Context) (end func()) {
	for _, name := range g.siteOrder {
		s := g.sites[name]
		go s.core.Run()
		s.link.Run()
	}
	if g.farEnd != nil && g.links.Links != nil {
		go func() { _ = g.farEnd.Serve(g.links.Links) }()
		context.AfterFunc(ctx, g.farEnd.Drain)
	}
	return func() {
		if g.farEnd != nil {
			wait, cancel := context.WithTimeout(context.Background(), g.maxRequestDuration)
			defer cancel()
			g.farEnd.WaitIdle(wait)
		}
		g.close()
	}
}

// crossings returns the number of crossings that have no verdict yet.
func (g *gatewayEnd) crossings() (n int) {
	for _, s := range g.sites {
		n += s.link.InFlight()
	}
	if g.farEnd != nil {
		n += g.farEnd.InFlight()
	}
	return n
}

// avoid makes the near ends avoid the named gateways, which the view of the fleet reports as unhealthy.
func (g *gatewayEnd) avoid(names []string) {
	for _, s := range g.sites {
		s.link.Avoid(names)
	}
}

// close closes all links at once.
func (g *gatewayEnd) close() {
	g.closeOnce.Do(func() {
		if g.links.Links != nil {
			g.links.Links.Close()
		}
		for _, s := range g.sites {
			s.link.Close()
		}
		if g.farEnd != nil {
			g.farEnd.Close()
		}
	})
}

// coreFor returns the core that sends requests to a site.
func (g *gatewayEnd) coreFor(site string) *core.Core {
	if s := g.sites[site]; s != nil {
		return s.core
	}
	return g.localCore
}

// Ready reports whether any site accepts requests.
func (g *gatewayEnd) Ready() bool {
	for _, s := range g.sites {
		if s.core.Ready() {
			return true
		}
	}
	return g.localCore.Ready()
}

// Do forwards a request to the first ready site of its route. If none is ready, it refuses the request at once.
func (g *gatewayEnd) Do(ctx context.Context, r *core.Request) core.Answer {
	class := ""
	if set := g.localCore.Classes(); r.Class < len(set) {
		class = set[r.Class].Name
	}
	site, err := routes.FirstReady(g.table.Load().Sites(class, r.Message.Target, r.ID),
		func(s string) bool { return g.coreFor(s).Ready() })
	if err != nil {
		if !g.ids.Add(r.ID) {
			return core.Answer{Outcome: core.Duplicate}
		}
		return core.Answer{Outcome: core.Refused, RetryAfter: g.retryAfter}
	}
	return g.coreFor(site).Do(ctx, r)
}
