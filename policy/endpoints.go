package policy

import (
	"cmp"
	"slices"

	"molepaddle/internal/decide/arith"
	"molepaddle/internal/decide/cluster"
)

const (
	// firstWindow is how many attempts an unmeasured server may have in flight.
	firstWindow = 2.0
	// restartWindow is the same of one whose process is new.
	restartWindow = 1.0
	// minRefetchMs is the least time between two calls for the whole list, ms.
	minRefetchMs = 1000
)

// server is what the agent knows of one listed server.
type server struct {
	Health
	id   cluster.Addr
	hash uint64

	// By the endpoint list.
	listRank   float64 // position in the list
	agentOrder uint64  // position in an order of this agent's own, among equal list ranks
	weight     float64
	zone       int
	cell       int
	kind       int     // of machine
	listedAt   float64 // start of its process, ms
	usable     bool    // listed as ready

	// Health.
	unresponsive      bool    // demoted since it didn't answer, not for an answer
	connectFailedAt   float64 // first failed connect since it last answered, ms; 0: none
	lastContact       float64 // when it last answered anything, ms
	strikes           int     // failures of late; they lengthen its time in Unhealthy
	servedSinceStrike int     // answers since strikes last changed
	failureShare      float64 // share of its attempts that failed of late, after they may have run
	probing           bool    // a probe of it is in flight

	// Load.
	inFlight    []*attempt // the oldest first
	window      float64    // attempts of this agent that it may have in flight
	windowCutAt float64    // ms
	sentAt      float64    // last attempt, ms
	gap         float64    // mean time between attempts, ms; 0: unknown

	// Latency.
	rtt          float64 // mean answer time, ms
	latencyRatio float64 // mean answer time as a part of the latency target
	samples      int     // answers in latencyRatio

	// Slow start.
	startedAt       float64 // listedAt, or later where a restart is assumed, ms
	slowStartCredit float64 // work that it may still be sent in slow start

	score float64 // in the order of the request being selected for; lower is nearer
}

// refetch asks for the whole list, but seldom: every call loads discovery.
func (b *Balancer) refetch() {
	if b.now-b.refetchedAt >= max(b.set.Contract.MaxPollIntervalMs, minRefetchMs) {
		b.refetchedAt = b.now
		b.emit(Action{Kind: ActFetch})
	}
}

// onList handles an endpoint list, a change of it, or that it couldn't be had.
func (b *Balancer) onList(ev *Event) {
	if ev.List == cluster.ListFailed {
		if b.set.Membership == membershipOnRequest {
			wait := b.listPolling.RetryDelay(b.rng.Float64())
			b.emit(Action{Kind: ActTimer, Ms: wait, Token: followToken})
		}
		return
	}
	b.listPolling.Reset()
	b.epoch++
	b.minServers = max(ev.Least, 0)
	listed := map[cluster.Addr]bool{}
	for i := range ev.Entries {
		listed[ev.Entries[i].Server] = true
		b.update(&ev.Entries[i])
	}
	if ev.List != cluster.ListDelta {
		for _, s := range b.servers {
			s.usable = s.usable && listed[s.id]
		}
	}
	slices.SortFunc(b.servers, func(x, y *server) int {
		return cmp.Or(cmp.Compare(x.listRank, y.listRank), cmp.Compare(x.agentOrder, y.agentOrder))
	})
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		forget := !s.usable && len(s.inFlight) == 0 && !s.probing
		if forget {
			delete(b.byAddr, s.id)
		}
		return forget
	})
}

// update takes one entry of the list.
func (b *Balancer) update(e *cluster.Entry) {
	since := arith.Finite(e.SinceMs)
	s := b.byAddr[e.Server]
	if s == nil {
		s = b.addServer(e, since)
	}
	if since > s.listedAt {
		b.resetServer(s, e, since)
	}
	s.zone = e.Zone
	s.cell = e.Cell
	s.kind = e.Kind
	s.usable = e.Health == cluster.Ready
	s.listRank = e.Rank
	s.weight = cmp.Or(max(arith.Finite(e.Weight), 0), 1)
}

func (b *Balancer) addServer(e *cluster.Entry, since float64) *server {
	s := &server{
		Health:          NewHealth(b.now),
		id:              e.Server,
		hash:            arith.Mix(e.Server.Hash()),
		listedAt:        since,
		startedAt:       since,
		window:          max(firstWindow, e.Window),
		slowStartCredit: b.rng.Float64(),
	}
	s.agentOrder = arith.Mix(s.hash ^ arith.Mix(uint64(b.set.Index)+1))
	b.byAddr[s.id] = s
	b.servers = append(b.servers, s)
	return s
}

// resetServer takes a new process of a known server: nothing known of the old one holds, and it is in slow
// start. Its credit starts at random: as many agents send it an attempt as the parts that each earns it add
// up to.
func (b *Balancer) resetServer(s *server, e *cluster.Entry, since float64) {
	s.Health = NewHealth(b.now)
	s.listedAt = since
	s.startedAt = since
	s.unresponsive = false
	s.strikes = 0
	s.servedSinceStrike = 0
	s.failureShare = 0
	s.latencyRatio = 0
	s.samples = 0
	s.window = max(restartWindow, e.Window)
	s.slowStartCredit = b.rng.Float64()
}
