package policy

import (
	"cmp"
	"slices"

	"molepaddle/internal/decide/arith"
	"molepaddle/internal/decide/cluster"
)

const (
	// firstWindow is the initial window of a newly listed server.
	firstWindow = 2.0
	// restartWindow is the initial window of a known server whose process is new.
	restartWindow = 1.0
	// minRefetchMs is the least time between two fetches of the complete list, ms.
	minRefetchMs = 1000
)

// server is the agent's state of one listed server.
type server struct {
	Health
	id   cluster.Addr
	hash uint64

	// From the endpoint list.
	listRank   float64 // position in the list
	agentOrder uint64  // position among equal list ranks, in an order that differs by agent
	weight     float64
	zone       int
	cell       int
	kind       int     // machine type
	listedAt   float64 // start of its process by the list, ms
	usable     bool    // listed as ready

	// Health.
	unresponsive      bool    // demoted for a missing answer, not for an error
	connectFailedAt   float64 // first failed connect since the last answer, ms; 0: none
	lastContact       float64 // last answer of any kind, ms
	strikes           int     // recent failures; each after the first doubles the time in Unhealthy
	servedSinceStrike int     // answers since strikes last changed
	failureShare      float64 // recent share of attempts that failed and may have run
	probing           bool    // a probe of it is in flight

	// Load.
	inFlight    []*attempt // oldest first
	window      float64    // limit of this agent's attempts in flight
	windowCutAt float64    // last reduction of window, ms
	sentAt      float64    // last attempt, ms; 0: none
	gap         float64    // mean time between attempts, ms; 0: unknown

	// Latency.
	rtt          float64 // mean answer time, ms
	latencyRatio float64 // mean answer time as a share of the latency target
	samples      int     // answers in latencyRatio

	// Slow start.
	startedAt       float64 // listedAt, or later where a restart is assumed, ms
	slowStartCredit float64 // work that may still be sent in slow start

	score float64 // for the request being selected for; lower is nearer
}

// refetch requests the complete list, at a bounded rate: every fetch loads discovery.
func (b *Balancer) refetch() {
	if b.now-b.refetchedAt >= max(b.set.Contract.MaxPollIntervalMs, minRefetchMs) {
		b.refetchedAt = b.now
		b.emit(Action{Kind: ActFetch})
	}
}

// onList handles an endpoint list, a change of it, or a failed fetch.
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
	b.minServers = max(ev.MinServers, 0)
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

// update applies one entry of the list.
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

// resetServer resets the state of a known server that has a new process, which is in slow start. Its credit
// starts at random in [0, 1), so that the number of agents that send it an attempt matches the sum of the
// fractions that the agents earn it.
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
