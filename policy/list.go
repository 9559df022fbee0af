package policy

import (
	"cmp"
	"slices"

	"molepaddle/internal/decide/arith"
	"molepaddle/internal/decide/cluster"
)

// server is what the agent knows of one listed server.
type server struct {
	Health
	id                cluster.Addr
	hash              uint64
	listRank          float64 // its place by the list; equal: by order
	agentOrder        uint64  // its place in an order of this agent's own
	weight            float64
	zone, cell, kind  int
	listedAt          float64    // start of its process by the list
	startedAt         float64    // the same, or later where a restart is assumed
	unresponsive      bool       // demoted for silence, not for an answer
	connectFailedAt   float64    // first failed connect since it last answered; 0: none
	strikes           int        // how often it failed of late; sets the hold
	servedSinceStrike int        // served since the last change of strikes
	failureShare      float64    // share of its attempts that failed of late, after they may have run
	usable, probing   bool       // listed as ready; a probe of it is out
	inFlight          []*attempt // attempts out, oldest first
	lastContact       float64    // when it last answered anything
	latencyRatio      float64    // mean answer time as a part of the aim
	samples           int
	window            float64 // attempts it may hold of this agent
	windowCutAt       float64
	sentAt            float64 // last attempt
	gap               float64 // mean time between attempts; 0: unknown
	rtt               float64 // mean answer time
	slowStartCredit   float64 // work a cold server may still be sent
	score             float64 // place in a request's order; lower is nearer
}

// refetch asks for the whole list, seldom: every call loads discovery.
func (b *Balancer) refetch() {
	if b.now-b.refetchedAt >= max(b.set.Contract.AskWithinMs, 1000) {
		b.refetchedAt = b.now
		b.emit(Action{Kind: ActFetch})
	}
}

func (b *Balancer) onList(ev *Event) {
	if ev.List == cluster.ListFailed {
		if b.set.Membership == "on_request" {
			b.emit(Action{Kind: ActTimer, Ms: b.asking.Failed(b.rng.Float64()), Token: followToken})
		}
		return
	}
	b.asking.Told()
	b.epoch++
	b.minServers = max(ev.Least, 0)
	named := map[cluster.Addr]bool{}
	for i := range ev.Entries {
		named[ev.Entries[i].Server] = true
		b.update(&ev.Entries[i])
	}
	if ev.List != cluster.ListDelta {
		for _, s := range b.servers {
			s.usable = s.usable && named[s.id]
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

func (b *Balancer) update(e *cluster.Entry) {
	s, since := b.byAddr[e.Server], arith.Finite(e.SinceMs)
	if s == nil {
		s = &server{id: e.Server, hash: arith.Mix(e.Server.Hash()), Health: NewHealth(b.now),
			window: max(firstWindow, e.Window), startedAt: since, listedAt: since,
			slowStartCredit: b.rng.Float64()}
		s.agentOrder = arith.Mix(s.hash ^ arith.Mix(uint64(b.set.Index)+1))
		b.byAddr[s.id] = s
		b.servers = append(b.servers, s)
	}
	if since > s.listedAt {
		// A new process: nothing known of the old one holds, and it is cold. Its credit starts
		// at random: as many agents send it one as the parts that each earns it add up to.
		s.listedAt, s.startedAt, s.Health, s.unresponsive = since, since, NewHealth(b.now), false
		s.strikes, s.servedSinceStrike, s.latencyRatio, s.samples, s.failureShare = 0, 0, 0, 0, 0
		s.window, s.slowStartCredit = max(1, e.Window), b.rng.Float64()
	}
	s.zone, s.cell, s.kind, s.usable, s.listRank = e.Zone, e.Cell, e.Kind, e.Health == cluster.Ready, e.Rank
	s.weight = cmp.Or(max(arith.Finite(e.Weight), 0), 1)
}
