package replication

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var rewriteTable = flag.Bool("replication.rewrite", false, "write the quorum table into the design page")

const (
	tablePage  = "../../../docs/design/worst-days-3-membership.md"
	tableBegin = "<!-- table of quorums: written by TestQuorumTable, -replication.rewrite -->\n"
	tableEnd   = "<!-- end of the table of quorums -->\n"
)

// layout is a core of the table: its number of machines, the number of failure domains over which they are spread in
// turn, and its failure tolerance.
type layout struct {
	machines, domains int
	survive           FailureTolerance
}

func (l layout) String() string {
	what, count := "machine", l.survive.Nodes
	if l.survive.Zones > 0 {
		what, count = "zone", l.survive.Zones
	}
	if l.survive.Regions > 0 {
		what, count = "region", l.survive.Regions
	}
	if count != 1 {
		what += "s"
	}
	text := fmt.Sprintf("%d, %d %s", l.machines, count, what)
	if l.survive.Nodes == 0 {
		text += fmt.Sprintf(" of %d", l.domains)
	}
	return text
}

// layouts returns all cores of the table.
func layouts() []layout {
	all := []layout{{1, 1, FailureTolerance{}}}
	for _, n := range []int{1, 3, 4, 5, 8, 9} {
		for s := 1; s <= 2; s++ {
			all = append(all, layout{n, n, FailureTolerance{Nodes: s}})
			for _, places := range []int{3, 4, 5} {
				if places <= n && places >= 2*s+1 {
					all = append(all, layout{n, places, FailureTolerance{Zones: s}})
					all = append(all, layout{n, places, FailureTolerance{Regions: s}})
				}
			}
		}
	}
	return all
}

// member returns the i-th machine of a layout. A successor has the next generation and the same failure domain.
func (l layout) member(i, generation int) Member {
	m := Member{ID: ID(fmt.Sprintf("m%d-%d", i, generation)), Addr: fmt.Sprintf("10.0.%d.%d:7000", i, generation)}
	m.Zone, m.Region = "z", "r"
	switch {
	case l.survive.Zones > 0:
		m.Zone = fmt.Sprint("z", i%l.domains)
	case l.survive.Regions > 0:
		m.Region = fmt.Sprint("r", i%l.domains)
	}
	return m
}

// losses returns all sets of machines, by address, that may be lost at once. Failure domains of machines already lost
// count towards the tolerance.
func (l layout) losses(of []Member, lost ...Member) []map[string]bool {
	unit := func(m Member) string {
		switch {
		case l.survive.Zones > 0:
			return m.Zone
		case l.survive.Regions > 0:
			return m.Region
		}
		return m.Addr
	}
	var units, already []string
	for _, m := range of {
		units = append(units, unit(m))
	}
	for _, m := range lost {
		already = append(already, unit(m))
	}
	slices.Sort(units)
	units = slices.Compact(units)
	slices.Sort(already)
	already = slices.Compact(already)
	units = slices.DeleteFunc(units, func(u string) bool { return slices.Contains(already, u) })
	may := max(l.survive.Nodes, l.survive.Zones, l.survive.Regions) - len(already)
	var sets []map[string]bool
	for bits := range 1 << len(units) {
		in := slices.Clone(already)
		for i, u := range units {
			if bits&(1<<i) != 0 {
				in = append(in, u)
			}
		}
		if len(in)-len(already) > max(may, 0) {
			continue
		}
		set := map[string]bool{}
		for _, m := range append(slices.Clone(of), lost...) {
			set[m.Addr] = slices.Contains(in, unit(m))
		}
		sets = append(sets, set)
	}
	return sets
}

// planner returns the primary of a view, to which all members are responsive.
func (l layout) planner(v View) *Machine {
	m := &Machine{
		opt: Options{
			Tolerance:         l.survive,
			ElectionTimeout:   progElection,
			MemberTimeout:     boundSync,
			HeartbeatInterval: progHeartbeat,
		},
		persistentState: persistentState{view: v},
		now:             10 * boundSync,
		peers: peerState{
			lastActive: map[ID]time.Duration{},
			laggedAt:   map[ID]time.Duration{},
			departing:  map[ID]bool{},
		},
		primary: primaryState{
			active:  true,
			joiners: map[string]*joiner{},
		},
	}
	self, _ := v.member(v.Primary)
	m.identity = Identity{ID: self.ID, Addr: self.Addr}
	m.opt.Self = self
	for _, o := range v.Members {
		m.peers.lastActive[o.ID] = m.now
	}
	return m
}

// addJoiner adds a joiner that has been active for the election time-out.
func (m *Machine) addJoiner(o Member) {
	m.primary.joiners[o.Addr] = &joiner{
		Member:      o,
		firstActive: m.now - progElection,
		lastActive:  m.now,
		confirmed:   true,
	}
}

// nextView returns the view that the planner would propose, or the current one if there are too few backups for it.
func (m *Machine) nextView() View {
	plan, c := m.nextPlan(func(ID) bool { return false })
	if !c.enough {
		return m.view
	}
	return View{Epoch: m.view.Epoch + 1, Members: plan.members, Primary: m.identity.ID, Backups: c.backups}
}

// takeovers returns all views of the next epoch that a backup may propose after the primary's loss.
func (l layout) takeovers(v View, dead ID) []View {
	var all []View
	for _, id := range v.Backups {
		w := v
		w.Primary = id
		m := l.planner(w)
		m.peers.lastActive[dead] = 0
		m.primary.active = false // members stay
		if nextView := m.nextView(); nextView.Epoch > v.Epoch {
			all = append(all, nextView)
		}
	}
	return all
}

// stage is a stage of a membership change, with the worst values over all machines that the change may affect.
type stage struct {
	name                 string
	members              [2]int // minimum, maximum
	quorum, copies       int    // maximum, minimum
	spareVotes, lastCopy int    // votes beyond the quorum, and replicas, left after the worst loss
	seen                 bool
}

func (s *stage) record(v *View, votes, copies, spare, last int) {
	n := len(v.Members)
	if !s.seen {
		s.seen, s.members = true, [2]int{n, n}
		s.quorum, s.copies, s.spareVotes, s.lastCopy = v.quorum(), copies, spare, last
		return
	}
	s.members = [2]int{min(s.members[0], n), max(s.members[1], n)}
	s.quorum, s.copies = max(s.quorum, v.quorum()), min(s.copies, copies)
	s.spareVotes, s.lastCopy = min(s.spareVotes, spare), min(s.lastCopy, last)
}

func (s *stage) holds() bool { return s.spareVotes >= 0 && s.lastCopy >= 1 }

// evaluate records a view under each of the losses; the machines in gone are permanently lost and part of no loss.
func (s *stage) evaluate(c *qt.C, v View, losses []map[string]bool, gone ...Member) {
	c.Assert(v.valid(), qt.IsTrue, qt.Commentf("%s: %+v", s.name, v))
	isGone := func(m Member) bool { return slices.Contains(gone, m) }
	for _, lost := range losses {
		votes, copies, last := 0, 0, 0
		for _, m := range v.Members {
			holder := v.rank(m.ID) >= 0
			if holder && !isGone(m) {
				copies++
			}
			if isGone(m) || lost[m.Addr] {
				continue
			}
			votes++
			if holder {
				last++
			}
		}
		s.record(&v, votes, copies, votes-v.quorum(), last)
	}
}

// stages runs an unplanned and a planned replacement of each machine, and evaluates each view on the way.
func (l layout) stages(c *qt.C) []*stage {
	whole, lostOne := &stage{name: "whole"}, &stage{name: "one machine lost"}
	joined, synced := &stage{name: "its successor is in"}, &stage{name: "the successor has caught up"}
	second, ended := &stage{name: "planned: one more is in"}, &stage{name: "planned: the old one has ended"}
	first := View{Epoch: 1}
	for i := range l.machines {
		first.Members = append(first.Members, l.member(i, 1))
	}
	sortMembers(first.Members)
	first.Primary = first.Members[0].ID
	m := l.planner(first)
	first.Backups = m.nextView().Backups
	whole.evaluate(c, first, l.losses(first.Members))
	if !l.survivable() {
		return []*stage{whole}
	}
	for i := range l.machines {
		l.planned(c, first, l.member(i, 1), l.member(i, 2), second, ended)
	}
	if l.survive.Replicas() == 1 {
		return []*stage{whole, second, ended}
	}
	for i := range l.machines {
		l.unplanned(c, first, l.member(i, 1), l.member(i, 2), lostOne, joined, synced)
	}
	return []*stage{whole, lostOne, joined, synced, second, ended}
}

// unplanned evaluates the views after old is permanently lost, its successor joins, and the successor has caught up.
func (l layout) unplanned(c *qt.C, first View, old, successor Member, lostOne, joined, synced *stage) {
	lostOne.evaluate(c, first, l.losses(first.Members, old))
	views := []View{first}
	if first.Primary == old.ID {
		views = l.takeovers(first, old.ID)
	}
	for _, v := range views {
		m := l.planner(v)
		m.peers.lastActive[old.ID] = m.now - progElection
		repaired := m.nextView() // with new backups
		lostOne.evaluate(c, repaired, l.losses(repaired.Members, old))
		m = l.planner(repaired)
		m.peers.lastActive[old.ID] = m.now - progElection
		m.addJoiner(successor)
		v = m.nextView()
		joined.evaluate(c, v, l.losses(v.Members, old, successor))
		m = l.planner(v)
		m.peers.lastActive[old.ID] = m.now - boundSync
		v = m.nextView()
		synced.evaluate(c, v, l.losses(without(v.Members, old)), old)
	}
}

// planned evaluates the views after the successor joins and catches up, and then old shuts down gracefully.
func (l layout) planned(c *qt.C, first View, old, successor Member, second, ended *stage) {
	m := l.planner(first)
	m.addJoiner(successor)
	v := m.nextView()
	second.evaluate(c, v, l.losses(v.Members))
	views := []View{v}
	if v.Primary == old.ID {
		m = l.planner(v) // without a backup it first adds one
		m.departure.begun = true
		v = m.nextView()
		views = nil
		for _, id := range v.Backups { // each may be the target of the handover
			w := v
			w.Primary = id
			m = l.planner(w)
			m.peers.departing[old.ID] = true
			m.primary.active = false // members stay
			views = append(views, m.nextView())
		}
	}
	for _, v := range views {
		for range 3 { // it loses its role, then its membership
			m = l.planner(v)
			m.peers.departing[old.ID] = true
			if !slices.ContainsFunc(v.Members, func(o Member) bool { return o == successor }) {
				m.addJoiner(successor)
			}
			v = m.nextView()
		}
		ended.evaluate(c, v, l.losses(without(v.Members, old)), old)
	}
}

// survivable reports whether a core of this layout can tolerate the losses at all: a majority of its machines is left.
func (l layout) survivable() bool {
	var members []Member
	for i := range l.machines {
		members = append(members, l.member(i, 1))
	}
	for _, lost := range l.losses(members) {
		left := 0
		for _, m := range members {
			if !lost[m.Addr] {
				left++
			}
		}
		if left < l.machines/2+1 {
			return false
		}
	}
	return true
}

// TestQuorumTable enumerates cores, membership changes and losses: a core that can tolerate the required losses at all
// tolerates them at each stage of a change: a majority of the members and a replica of the record are left. The table
// in the design page must equal the result.
func TestQuorumTable(t *testing.T) {
	c := qt.New(t)
	var table strings.Builder
	table.WriteString("| core, to be survived | moment | members | quorum | copies | votes to spare after the worst loss | copies left | holds |\n|---|---|---|---|---|---|---|---|\n")
	for _, l := range layouts() {
		for _, s := range l.stages(c) {
			if l.survivable() {
				c.Check(s.holds(), qt.IsTrue, qt.Commentf("%s: %s: %+v", l, s.name, *s))
			}
			members := fmt.Sprint(s.members[0])
			if s.members[1] != s.members[0] {
				members += fmt.Sprint(" to ", s.members[1])
			}
			verdict := "yes"
			switch {
			case s.holds():
			case s.spareVotes < 0:
				verdict = "no: fewer than a majority is left"
			default:
				verdict = "no: no copy is left"
			}
			fmt.Fprintf(
				&table, "| %s | %s | %s | %d | %d | %d | %d | %s |\n", l, s.name, members, s.quorum, s.copies,
				s.spareVotes, s.lastCopy, verdict,
			)
		}
	}
	page, err := os.ReadFile(tablePage)
	c.Assert(err, qt.IsNil)
	before, rest, ok := strings.Cut(string(page), tableBegin)
	c.Assert(ok, qt.IsTrue)
	found, after, ok := strings.Cut(rest, tableEnd)
	c.Assert(ok, qt.IsTrue)
	if *rewriteTable {
		c.Assert(os.WriteFile(tablePage, []byte(before+tableBegin+table.String()+tableEnd+after), 0o600), qt.IsNil)
		return
	}
	c.Check(found, qt.Equals, table.String(), qt.Commentf("run with -replication.rewrite"))
}
