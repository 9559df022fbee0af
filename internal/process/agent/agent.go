// Package agent puts one agent together: the core, its front ends (a row each) and transport, the
// roster's client. It shares out the descriptors and the memory among them, and decides
// nothing else.
//
// Serve runs the core in a goroutine that outlives the front end, which ends first; what
// Serve and Reload touch is theirs to share.
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

// otherSockets are kept for the roster, the listener and the runtime.
const otherSockets = 16

// spare is what is left of the descriptors to clients and servers.
func spare(c *config.Config) int {
	if c.Management != "" {
		return c.Limits.Sockets - management.Connections
	}
	return c.Limits.Sockets
}

// backendSockets is the part of the descriptors for connections to servers;
// clientSockets that for clients', who hold a third of all at most for requests.
func backendSockets(all int) int { return (all - otherSockets) * 2 / 5 }
func clientSockets(all int) int  { return all - otherSockets - backendSockets(all) }

// keptSockets is how many of the clients' connections are kept between requests: half of
// what the clients hold.
func keptSockets(all int) int { return all / 6 }

// openRequests is how many requests may be held at once, told to the module, which
// refuses what is over it. The places left are for those that are told so.
func openRequests(all int) int {
	places := clientSockets(all)
	return places - max(places/8, 8)
}

// Network opens the agent's own connections; the zero Network is the machine's.
type Network struct {
	// Dial opens one as net.Dialer.DialContext does.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Links is where links of near gateways come in; nil: nowhere.
	Links net.Listener
	// FastCGI is where web servers connect, as the operator's file says.
	FastCGI []net.Listener
	// Promises is a part that somebody else runs, in the place of the operator's file's, for a far end that promises
	// without peers; tests bring one.
	Promises *promise.Part
}

// frontEnd is what an agent needs of one, whatever it speaks.
type frontEnd interface {
	// Serve answers on the listeners until the context ends, then finishes what it holds.
	Serve(ctx context.Context, listeners ...net.Listener) error
	// Turn has requests that are read from now on read by another version of the settings.
	Turn(v intake.View)
	// Taken is how many requests are taken and not yet answered.
	Taken() int64
	Close() error
}

// row is a front end with its part of what the agent has.
type row struct {
	frontEnd
	share     func(part int) // keeps to one of so many parts of the agent's bounds
	listeners []net.Listener // nil: those that Serve is given
}

// Decide makes what decides for an agent in the place of policy.New.
type Decide func(set settings.Settings, seed uint64) (core.Decider, error)

// Agent is one agent.
type Agent struct {
	core      *core.Core
	fronts    []row // HTTP's first
	transport *transport.Transport
	stop      context.CancelFunc
	gate      *gate         // nil: it is no end of links
	fleet     *fleetView    // nil: it keeps no view of its fleet
	promises  *promise.Part // nil: it holds nothing for others
	sockets   int           // that clients and servers share
	bodyBytes int64         // that bodies may hold
	bodies    *window.Budget
	gateway   bool
	life      *lifecycle.Machine
	log       *slog.Logger
	table     *settings.Table   // Reload's
	latest    settings.Settings // in force, as they were given
}

// Life is what the agent's process is.
func (a *Agent) Life() *lifecycle.Machine { return a.life }

// Ready tells whether any server can be sent to; it does not wait.
func (a *Agent) Ready() bool {
	if a.gate != nil {
		return a.gate.Ready()
	}
	return a.core.Ready()
}

// New makes an agent, which is told the list of its configuration, and what the operator
// switches on.
func New(c *config.Config, o *operator.Settings, network Network, log *slog.Logger) (*Agent, error) {
	return NewWith(c, o, network, nil, log)
}

// NewWith makes an agent with other decisions than its own, as the lab does; nil: its own.
func NewWith(c *config.Config, o *operator.Settings, network Network, decide Decide, log *slog.Logger) (*Agent, error) {
	if network.Dial == nil {
		network.Dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	connect := ms(c.Settings.Limits.ConnectTimeoutMs)
	if connect <= 0 {
		connect = time.Second
	}
	sockets, web := spare(c), &o.Front.FastCGI
	more := 0 // requests that come over connections of several
	if web.On() {
		sockets -= web.Connections
		more = web.Connections * web.Requests
	}
	if o.Peers.On() {
		sockets -= o.Peers.Connections
	}
	if sockets < config.MinSockets {
		return nil, fmt.Errorf("operator: front.fastcgi.connections, peers.connections: %d and %d of the platform's %d descriptors leave less than %d", web.Connections, o.Peers.Connections, c.Limits.Sockets, config.MinSockets)
	}
	bodyBytes := int64(c.Limits.MemoryMB * (1 << 20) / 8)
	bodies := window.NewBudget(bodyBytes)
	ctx, stop := context.WithCancel(context.Background())
	idle := ms(c.Settings.Limits.KeepaliveMs / 2)
	if o.Fleet.On {
		idle = min(idle, time.Duration(o.Fleet.KeepIdle))
	}
	spoken, err := o.Transport.FastCGI.Options(c.Words.Sites, c.Words.Kinds)
	if err != nil {
		stop()
		return nil, err
	}
	if spoken != nil {
		spoken.Log = log
	}
	servers := transport.New(transport.Options{Dial: network.Dial, Timeout: connect,
		Idle: idle, Most: backendSockets(sockets),
		Budget: bodies, FastCGI: spoken,
		Settle: time.Duration(o.Transport.HTTP.Settle), Resting: o.Transport.HTTP.Resting})
	var ids *core.IDs
	if o.Gateway.On() {
		ids = core.NewIDs(&c.Settings)
	}
	table := settings.NewTable(c.Settings)
	var account func(*loss.Record)
	if o.Log.Account {
		account = func(r *loss.Record) {
			if text, err := json.Marshal(r); err == nil { // values only
				log.Info(loss.LogMessage, "record", string(text))
			}
		}
	}
	k, err := core.New(ctx, core.Options{
		IDs:         ids,
		ReportLoss:  account,
		ZoneNumbers: c.Words.Sites,
		NewDecider:  decide,
		Fleet:       o.Fleet.Options(),
		Settings:    table.Settings, Seed: c.Seed, InitialList: c.Known, MaxOpen: openRequests(sockets) + more,
		// Room for all that can be under way at once: a front end must not wait there.
		QueueLength: 4 * (sockets + more),
		Transport:   servers,
		RosterAddr:  c.Discovery,
		NewRoster: func(addr string, tell func(core.Update)) core.Roster {
			return roster.New(ctx, addr, c.Words, network.Dial, tell)
		},
		Log: log,
	})
	if err != nil {
		stop()
		return nil, err
	}
	a := &Agent{promises: network.Promises, sockets: sockets, bodyBytes: bodyBytes, bodies: bodies, core: k, stop: stop, transport: servers, table: table, latest: c.Settings, log: log, life: lifecycle.New(), gateway: o.Gateway.On()}
	var handler httpfront.Handler = k
	if o.Promises.On {
		if longest := core.MaxRequestDuration(&c.Settings); time.Duration(o.Promises.Remember) < 2*longest {
			stop()
			return nil, fmt.Errorf("operator: promises.remember: %v is under twice the %v that an order may be open", time.Duration(o.Promises.Remember), longest)
		}
		folder := ""
		if o.Promises.Journal == "disk" {
			folder = o.Work.Folder
		}
		a.promises = promise.New(promise.Options{Folder: folder, Machine: o.Peers.Machine, Zone: o.Peers.Zone, Copies: o.Promises.Copies, Fewer: o.Promises.Fewer(),
			Remember: time.Duration(o.Promises.Remember), Bytes: o.Promises.AnswersMB << 20, Log: log})
	}
	if o.Gateway.On() {
		var promised gateway.Promises
		if a.promises != nil && o.Promises.Copies > 0 {
			promised = a.promises
		}
		if a.gate, err = newGate(ctx, c, &o.Gateway, network, k, ids, promised, log); err != nil {
			stop()
			return nil, err
		}
		handler = a.gate
		if network.Promises != nil && a.gate.far != nil {
			network.Promises.Promises(o.Gateway.Name, a.gate.far.Incarnation(), a.gate.far)
		}
	}
	front := httpfront.New(handler, httpfront.Options{
		View: intake.ViewOf(a.table), Life: a.life,
		Places: clientSockets(sockets), Kept: keptSockets(sockets),
		Budget: bodies, Streams: !o.Gateway.On(), Log: log,
		HeadWithin: time.Duration(o.Front.HTTP.HeadWithin), BodyWithin: time.Duration(o.Front.HTTP.BodyWithin),
		KeepIdle: time.Duration(o.Front.HTTP.KeepIdle)})
	a.fronts = append(a.fronts, row{frontEnd: front, share: func(part int) {
		front.Bound(clientSockets(sockets/part), keptSockets(sockets/part))
	}})
	if web.On() {
		fast := fcgifront.New(handler, fcgifront.Options{View: intake.ViewOf(a.table), Life: a.life, Connections: web.Connections, Requests: web.Requests,
			Allowed: web.Allowed(), Budget: bodies, Short: o.Gateway.On(), Log: log, HeadWithin: time.Duration(web.HeadWithin),
			BodyWithin: time.Duration(web.BodyWithin), KeepIdle: time.Duration(web.KeepIdle)})
		a.fronts = append(a.fronts, row{frontEnd: fast, share: func(part int) { fast.Bound(max(web.Connections/part, 1)) }, listeners: network.FastCGI})
	}
	if a.fleet, err = newFleet(a, c, o, log); err != nil {
		stop()
		return nil, err
	}
	return a, nil
}

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// Reload takes what may change while the agent runs from a new configuration, validated: the
// settings, the address of the roster, the gateway's routes and certificates. An error changes
// nothing of what it is about. It is called by one goroutine.
func (a *Agent) Reload(c *config.Config, o *operator.Settings) error {
	if !reflect.DeepEqual(c.Settings, a.latest) {
		if a.gateway {
			return errors.New("config: settings: a gateway takes others at a restart only, as its far sites would not know them")
		}
		next, err := a.table.Next(c.Settings, time.Now())
		if err != nil {
			return fmt.Errorf("config: %w", err)
		}
		if err := a.core.UpdateSettings(next); err != nil {
			return fmt.Errorf("config: settings: %w", err)
		}
		for _, f := range a.fronts {
			f.Turn(intake.ViewOf(next))
		}
		a.table, a.latest = next, c.Settings
		a.log.Info("settings: changed", "version", next.Version, "classes", len(next.Classes))
	}
	a.core.SwitchRoster(c.Discovery)
	if a.fleet != nil && a.fleet.keys != nil {
		if err := a.fleet.keys.Reload(); err != nil {
			return fmt.Errorf("operator: peers.keys: %w", err)
		}
	}
	if a.gate != nil {
		return a.gate.reload(c, &o.Gateway)
	}
	return nil
}

// Serve answers on the listeners until the context ends, then finishes what it holds.
func (a *Agent) Serve(ctx context.Context, listeners ...net.Listener) error {
	defer a.transport.Close()
	defer a.stop()
	go a.core.Run()
	if a.fleet != nil {
		defer a.fleet.Leave()
	}
	if a.gate != nil {
		defer a.gate.run(ctx)() // first: what it finishes it may have to promise
	}
	ctx, end := context.WithCancel(ctx) // one that fails ends the others
	defer end()
	ended := make(chan error, len(a.fronts))
	for i, f := range a.fronts {
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
	err := a.fronts[0].Serve(ctx, listeners...)
	end()
	for range a.fronts[1:] {
		err = errors.Join(err, <-ended)
	}
	return err
}

// Load is what an agent holds.
type Load struct {
	core.Load
	Taken  int64 // requests that clients wait for
	Bodies int64 // bytes of theirs
	// Crossings are those offered and taken that have no verdict, at either end of links.
	Crossings int
}

// Load tells what the agent holds now.
func (a *Agent) Load() Load {
	l := Load{Load: a.core.Load(), Bodies: a.bodies.Used()}
	for _, f := range a.fronts {
		l.Taken += f.Taken()
	}
	if a.gate != nil {
		l.Crossings = a.gate.crossings()
	}
	return l
}

// Close ends the agent at once, with all that it holds.
func (a *Agent) Close() error {
	a.stop()
	a.transport.Close()
	if a.gate != nil {
		a.gate.close()
	}
	if a.fleet != nil {
		a.fleet.Close()
	}
	var err error
	for _, f := range a.fronts {
		err = errors.Join(err, f.Close())
	}
	return err
}
