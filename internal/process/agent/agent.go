// Package agent assembles one agent: the core, its front ends, the transport to servers, the registry client,
// and, where the operator's file enables them, the gateway, the view of the fleet, maintenance and promises. It
// divides the file descriptors and the memory among them and makes no other decision.
//
// Serve runs the core in a goroutine that outlives the front ends. Reload may be called while Serve runs, but
// by one goroutine at a time.
package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"reflect"
	"time"

	"molepaddle/internal/core"
	"molepaddle/internal/decide/lifecycle"
	"molepaddle/internal/decide/loss"
	"molepaddle/internal/decide/settings"
	"molepaddle/internal/process/config"
	"molepaddle/internal/process/management"
	"molepaddle/internal/process/operator"
	"molepaddle/internal/process/promise"
	"molepaddle/internal/protocol/fcgifront"
	"molepaddle/internal/protocol/gateway"
	"molepaddle/internal/protocol/httpfront"
	"molepaddle/internal/protocol/intake"
	"molepaddle/internal/protocol/roster"
	"molepaddle/internal/protocol/transport"
	"molepaddle/internal/protocol/window"
)

// reservedSockets is the number of descriptors reserved for the registry client, the listener and the runtime.
const reservedSockets = 16

// availableSockets returns the number of descriptors that the management endpoint does not use.
func availableSockets(c *config.Config) int {
	if c.Management != "" {
		return c.Limits.Sockets - management.MaxConnections
	}
	return c.Limits.Sockets
}

// backendSockets returns the number of descriptors for connections to servers.
func backendSockets(all int) int { return (all - reservedSockets) * 2 / 5 }

// clientSockets returns the number of descriptors for clients' connections: three fifths of those that aren't
// reserved.
func clientSockets(all int) int { return all - reservedSockets - backendSockets(all) }

// keepAliveSockets returns the number of clients' connections, idle between requests or busy, above which a connection
// is closed after its answer: a sixth of all descriptors.
func keepAliveSockets(all int) int { return all / 6 }

// maxOpenRequests returns how many requests may be open at once. The core refuses any request over this
// number. The remaining client connections are there to carry those refusals.
func maxOpenRequests(all int) int {
	places := clientSockets(all)
	return places - max(places/8, 8)
}

// Network provides the agent's connections and listeners. The zero value dials over the machine's network and
// has no listeners.
type Network struct {
	// Dial opens a connection as net.Dialer.DialContext does.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Links accepts the links of near gateways; nil: none.
	Links net.Listener
	// FastCGI accepts the web servers' connections, one listener for each in the operator's file.
	FastCGI []net.Listener
	// Promises is the promise store to use if the operator's file enables none. The caller of New runs it. Tests use it
	// for a far gateway that replicates its promises without peers.
	Promises *promise.Replicator
}

// frontEnd accepts clients' requests over one protocol.
type frontEnd interface {
	// Serve serves the listeners until the context ends, then completes the open requests.
	Serve(ctx context.Context, listeners ...net.Listener) error
	// Turn applies another version of the settings to requests that are read from now on.
	Turn(v intake.View)
	// Taken returns the number of requests that were accepted and not yet answered.
	Taken() int64
	Close() error
}

// boundedFrontEnd is a front end with its share of the agent's resources.
type boundedFrontEnd struct {
	frontEnd
	limitTo   func(divisor int) // reduces its bounds to one of divisor equal parts of the agent's
	listeners []net.Listener    // nil: the listeners passed to Serve
}

// NewDecider creates the decider of an agent in place of policy.New.
type NewDecider func(set settings.Settings, seed uint64) (core.Decider, error)

// Agent is one running agent.
type Agent struct {
	core       *core.Core
	frontEnds  []boundedFrontEnd // HTTP is first
	transport  *transport.Transport
	stop       context.CancelFunc
	gatewayEnd *gatewayEnd         // nil: the agent is not a gateway at either end of links
	fleet      *fleetNode          // nil: the agent keeps no view of its fleet
	promises   *promise.Replicator // nil: the agent stores nothing for others
	sockets    int                 // descriptors that clients and servers share
	bodyBytes  int64               // memory limit for bodies
	bodies     *window.Budget
	isGateway  bool
	lifecycle  *lifecycle.Machine
	log        *slog.Logger
	table      *settings.Table   // replaced by Reload
	latest     settings.Settings // settings in force, as configured
}

// Lifecycle returns the lifecycle of the agent's process.
func (a *Agent) Lifecycle() *lifecycle.Machine { return a.lifecycle }

// Ready reports whether any server accepts requests; for a gateway that sends to far sites, also one there.
// It does not block.
func (a *Agent) Ready() bool {
	if a.gatewayEnd != nil {
		return a.gatewayEnd.Ready()
	}
	return a.core.Ready()
}

// New returns an agent with the endpoint list of its configuration and the features that the operator enables.
func New(c *config.Config, o *operator.Settings, network Network, log *slog.Logger) (*Agent, error) {
	return NewWith(c, o, network, nil, log)
}

// NewWith returns an agent that uses another decider, as the lab does. With a nil decide it equals New.
func NewWith(
	c *config.Config, o *operator.Settings, network Network, decide NewDecider, log *slog.Logger,
) (*Agent, error) {
	if network.Dial == nil {
		network.Dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	connectTimeout := ms(c.Settings.Limits.ConnectTimeoutMs)
	if connectTimeout <= 0 {
		connectTimeout = time.Second
	}
	sockets, web := availableSockets(c), &o.Front.FastCGI
	multiplexed := 0 // requests over connections that carry several at once
	if web.On() {
		sockets -= web.Connections
		multiplexed = web.Connections * web.Requests
	}
	if o.Peers.On() {
		sockets -= o.Peers.Connections
	}
	if sockets < config.MinSockets {
		return nil, fmt.Errorf("operator: front.fastcgi.connections, peers.connections: "+
			"%d and %d of the platform's %d descriptors leave less than %d", web.Connections, o.Peers.Connections, c.Limits.Sockets, config.MinSockets)
	}
	bodyBytes := int64(c.Limits.MemoryMB * (1 << 20) / 8)
	bodies := window.NewBudget(bodyBytes)
	ctx, stop := context.WithCancel(context.Background())
	idle := ms(c.Settings.Limits.KeepaliveMs / 2)
	if o.Fleet.On {
		idle = min(idle, time.Duration(o.Fleet.KeepIdle))
	}
	fastCGIOptions, err := o.Transport.FastCGI.Options(c.RosterNames.Sites, c.RosterNames.Kinds)
	if err != nil {
		stop()
		return nil, err
	}
	if fastCGIOptions != nil {
		fastCGIOptions.Log = log
	}
	servers := transport.New(transport.Options{Dial: network.Dial, Timeout: connectTimeout,
		Idle: idle, Most: backendSockets(sockets),
		Budget: bodies, FastCGI: fastCGIOptions,
		Settle: time.Duration(o.Transport.HTTP.Settle), Resting: o.Transport.HTTP.Resting})
	var ids *core.IDs
	if o.Gateway.On() {
		ids = core.NewIDs(&c.Settings)
	}
	table := settings.NewTable(c.Settings)
	var reportLoss func(*loss.Record)
	if o.Log.Account {
		reportLoss = func(r *loss.Record) {
			if text, err := json.Marshal(r); err == nil { // values only
				log.Info(loss.LogMessage, "record", string(text))
			}
		}
	}
	agentCore, err := core.New(ctx, core.Options{
		IDs:         ids,
		ReportLoss:  reportLoss,
		ZoneNumbers: c.RosterNames.Sites,
		NewDecider:  decide,
		Fleet:       o.Fleet.Options(),
		Settings:    table.Settings, Seed: c.Seed, InitialList: c.InitialList,
		MaxOpen: maxOpenRequests(sockets) + multiplexed,
		// Room for all concurrent requests: a front end must not block on the queue.
		QueueLength: 4 * (sockets + multiplexed),
		Transport:   servers,
		RosterAddr:  c.Discovery,
		NewRoster: func(addr string, tell func(core.Update)) core.Roster {
			return roster.New(ctx, addr, c.RosterNames, network.Dial, tell)
		},
		Log: log,
	})
	if err != nil {
		stop()
		return nil, err
	}
	a := &Agent{promises: network.Promises, sockets: sockets, bodyBytes: bodyBytes, bodies: bodies, core: agentCore,
		stop: stop, transport: servers, table: table, latest: c.Settings, log: log, lifecycle: lifecycle.New(),
		isGateway: o.Gateway.On()}
	var handler httpfront.Handler = agentCore
	if o.Promises.On {
		if longest := core.MaxRequestDuration(&c.Settings); time.Duration(o.Promises.Remember) < 2*longest {
			stop()
			return nil, fmt.Errorf("operator: promises.remember: %v is under twice the %v that an order may be open",
				time.Duration(o.Promises.Remember), longest)
		}
		folder := ""
		if o.Promises.Journal == "disk" {
			folder = o.Work.Folder
		}
		a.promises = promise.New(promise.Options{Folder: folder, Machine: o.Peers.Machine, Zone: o.Peers.Zone,
			Replicas: o.Promises.Copies, AllowFewer: o.Promises.AllowsFewer(),
			Retention: time.Duration(o.Promises.Remember), MaxReplyBytes: o.Promises.AnswersMB << 20, Log: log})
	}
	if o.Gateway.On() {
		var promised gateway.Promises
		if a.promises != nil && o.Promises.Copies > 0 {
			promised = a.promises
		}
		if a.gatewayEnd, err = newGatewayEnd(ctx, c, &o.Gateway, network, agentCore, ids, promised, log); err != nil {
			stop()
			return nil, err
		}
		handler = a.gatewayEnd
		if network.Promises != nil && a.gatewayEnd.farEnd != nil {
			network.Promises.Attach(o.Gateway.Name, a.gatewayEnd.farEnd.Incarnation(), a.gatewayEnd.farEnd)
		}
	}
	front := httpfront.New(handler, httpfront.Options{
		View: intake.ViewOf(a.table), Life: a.lifecycle,
		Places: clientSockets(sockets), Kept: keepAliveSockets(sockets),
		Budget: bodies, Streams: !o.Gateway.On(), Log: log,
		HeadWithin: time.Duration(o.Front.HTTP.HeadWithin), BodyWithin: time.Duration(o.Front.HTTP.BodyWithin),
		KeepIdle: time.Duration(o.Front.HTTP.KeepIdle)})
	a.frontEnds = append(a.frontEnds, boundedFrontEnd{frontEnd: front, limitTo: func(divisor int) {
		front.SetLimits(clientSockets(sockets/divisor), keepAliveSockets(sockets/divisor))
	}})
	if web.On() {
		fast := fcgifront.New(handler, fcgifront.Options{View: intake.ViewOf(a.table), Life: a.lifecycle,
			Connections: web.Connections, Requests: web.Requests,
			Allowed: web.Allowed(), Budget: bodies, Short: o.Gateway.On(), Log: log,
			HeadWithin: time.Duration(web.HeadWithin),
			BodyWithin: time.Duration(web.BodyWithin), KeepIdle: time.Duration(web.KeepIdle)})
		a.frontEnds = append(a.frontEnds, boundedFrontEnd{frontEnd: fast,
			limitTo: func(divisor int) { fast.SetMaxConns(max(web.Connections/divisor, 1)) }, listeners: network.FastCGI})
	}
	if a.fleet, err = newFleet(a, c, o, log); err != nil {
		stop()
		return nil, err
	}
	return a, nil
}

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// Reload applies the parts of a validated configuration that may change while the agent runs: the settings, the
// address of the registry, the gateway's routes and the certificates. On an error the part that it names stays
// unchanged. Only one goroutine may call Reload.
func (a *Agent) Reload(c *config.Config, o *operator.Settings) error {
	if !reflect.DeepEqual(c.Settings, a.latest) {
		if a.isGateway {
			return errors.New("config: settings: a gateway changes them only at a restart, " +
				"as its far sites would not know the new ones")
		}
		next, err := a.table.Next(c.Settings, time.Now())
		if err != nil {
			return fmt.Errorf("config: %w", err)
		}
		if err := a.core.UpdateSettings(next); err != nil {
			return fmt.Errorf("config: settings: %w", err)
		}
		for _, f := range a.frontEnds {
			f.Turn(intake.ViewOf(next))
		}
		a.table, a.latest = next, c.Settings
		a.log.Info("settings changed", "version", next.Version, "classes", len(next.Classes))
	}
	a.core.SwitchRoster(c.Discovery)
	if a.fleet != nil && a.fleet.keys != nil {
		if err := a.fleet.keys.Reload(); err != nil {
			return fmt.Errorf("operator: peers.keys: %w", err)
		}
	}
	if a.gatewayEnd != nil {
		return a.gatewayEnd.reload(c, &o.Gateway)
	}
	return nil
}

// Serve serves the listeners until the context ends, then completes the open requests.
func (a *Agent) Serve(ctx context.Context, listeners ...net.Listener) error {
	defer a.transport.Close()
	defer a.stop()
	go a.core.Run()
	if a.fleet != nil {
		defer a.fleet.Leave()
	}
	if a.gatewayEnd != nil {
		defer a.gatewayEnd.run(ctx)() // runs before the fleet's Leave: requests that complete may still need promises
	}
	ctx, end := context.WithCancel(ctx) // a front end that fails ends the others
	defer end()
	ended := make(chan error, len(a.frontEnds))
	for i, f := range a.frontEnds {
		if i > 0 {
			go func() {
				err := f.Serve(ctx, f.listeners...)
				if err != nil {
					end()
				}
				ended <- err
			}()
		}
	}
	err := a.frontEnds[0].Serve(ctx, listeners...)
	end()
	for range a.frontEnds[1:] {
		err = errors.Join(err, <-ended)
	}
	return err
}

// Load counts an agent's open requests and its memory for bodies.
type Load struct {
	core.Load
	Taken     int64 // requests accepted and not yet answered
	BodyBytes int64 // bytes of bodies in memory
	// Crossings is the number of crossings offered or accepted that have no outcome yet, at either end of links.
	Crossings int
}

// Load returns the agent's current load.
func (a *Agent) Load() Load {
	l := Load{Load: a.core.Load(), BodyBytes: a.bodies.Used()}
	for _, f := range a.frontEnds {
		l.Taken += f.Taken()
	}
	if a.gatewayEnd != nil {
		l.Crossings = a.gatewayEnd.crossings()
	}
	return l
}

// Close stops the agent at once and abandons its open requests.
func (a *Agent) Close() error {
	a.stop()
	a.transport.Close()
	if a.gatewayEnd != nil {
		a.gatewayEnd.close()
	}
	if a.fleet != nil {
		a.fleet.Close()
	}
	var err error
	for _, f := range a.frontEnds {
		err = errors.Join(err, f.Close())
	}
	return err
}
