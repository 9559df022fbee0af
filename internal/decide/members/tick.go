package members

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Tick ends a period. The caller calls it once per period, and once after a pause of any length: missing
// contact is counted in ticks, so that a process that was paused suspects no member because of the pause.
func (m *Machine) Tick(now time.Duration) Output {
	return m.apply(now, func() {
		gap := m.now - m.lastTick
		if m.lastTick = m.now; m.ticks > 0 && gap > m.options.ForgetAfter {
			m.rejoin()
		}
		m.ticks++
		m.unchangedTicks++
		if m.starvedTicks > 0 {
			m.starvedTicks--
		}
		if m.ticks > 1 && gap > 5*m.options.Period/2 {
			m.starvedTicks = 2 * m.options.SuspectAfter
		}
		m.recordContacts()
		if m.observersStale {
			m.assignObservers()
		}
		m.updateSuspicions()
		m.updateStates()
		m.updateOwnRecords()
		m.expire()
		m.planLinks()
		m.flush()
		for _, id := range m.linkedIDs() {
			m.out.Send = append(m.out.Send, Send{id, Message{Stamp: uint64(m.ticks), Echo: m.links[id].lastStamp}})
		}
	})
}

// rejoin discards the view, which may hold records that others have already forgotten, and joins again
// under a higher incarnation.
func (m *Machine) rejoin() {
	m.out.Drop = append(m.out.Drop, m.linkedIDs()...)
	m.options.ID.Incarnation++
	m.reset()
}

// recordContacts notes which observed members were heard from in the period that ends.
func (m *Machine) recordContacts() {
	for _, n := range m.order {
		if n.subject || m.suspected[n.hash] != 0 {
			n.contactHistory <<= 1
			n.watchedPeriods++
			if l := m.links[n.id]; l != nil && l.received || m.starvedTicks == 2*m.options.SuspectAfter {
				n.contactHistory |= 1
			}
		}
	}
	m.ticksWithoutContact++
	for _, l := range m.links {
		if l.received {
			m.ticksWithoutContact = 0
		}
		l.received = false
	}
}

// zoneSearchLength is how many of a member's predecessors on a ring are searched for one in another zone.
const zoneSearchLength = 4

// assignObservers computes which member observes which: on each ring the nearest predecessor of a member
// that is on another machine and doesn't observe it yet, preferably in another zone.
func (m *Machine) assignObservers() {
	m.observersStale = false
	var candidates, all []*node
	for _, n := range m.order {
		if n.self == nil || n.self.Info.Left {
			n.subject = false
			continue
		}
		all = append(all, n)
		if n == m.local || n.present() && n.self.Info.Joined && n.openSuspicions == 0 {
			candidates = append(candidates, n)
		}
	}
	var rings [Rings][]*node
	for r := range rings {
		rings[r] = slices.Clone(candidates)
		slices.SortFunc(rings[r], comparePosition(r))
	}
	clear(m.observers)
	for _, s := range all {
		var taken [Rings]*node
		for r := range rings {
			taken[r] = observer(rings[r], r, s, taken[:r])
		}
		was := s.subject
		if s.subject = s != m.local && slices.Contains(taken[:], m.local); s.subject && !was {
			s.contactHistory, s.watchedPeriods = 0, 0
		}
		if s == m.local {
			for _, o := range taken {
				if o != nil {
					m.observers[o.id] = true
				}
			}
		}
	}
}

// observer returns the observer of a member on one ring, or nil if no candidate is left.
func observer(ring []*node, r int, s *node, taken []*node) *node {
	at, _ := slices.BinarySearchFunc(ring, s, comparePosition(r))
	var otherMachine, fallback *node // first candidate on another machine; first candidate of another name
	seen := 0
	for i := range ring {
		o := ring[(at-1-i+2*len(ring))%len(ring)]
		if o.id.Name == s.id.Name || slices.Contains(taken, o) {
			continue
		}
		if fallback == nil {
			fallback = o
		}
		if o.self.Info.Machine != s.self.Info.Machine {
			if o.self.Info.Zone != s.self.Info.Zone {
				return o
			}
			if otherMachine == nil {
				otherMachine = o
			}
		}
		if seen++; seen >= zoneSearchLength && otherMachine != nil || seen >= 4*zoneSearchLength {
			break
		}
	}
	if otherMachine != nil {
		return otherMachine
	}
	return fallback
}

// updateSuspicions suspects subjects without contact, and withdraws suspicions that no longer apply.
func (m *Machine) updateSuspicions() {
	// Peers that become unreachable together do so within a period of each other, hence one period less.
	m.isolated = m.ticksWithoutContact >= m.options.SuspectAfter-1 && len(m.links)+len(m.observers) > 1
	if m.isolated {
		m.selfSuspectUntil = m.ticks + m.options.SuspectAfter // contact with all peers doesn't return at once
	}
	timeout := m.options.SuspectAfter
	if m.ticks < m.selfSuspectUntil || m.starvedTicks > 0 {
		timeout *= 3 // the fault may be this agent's own
	}
	changed, trip := false, m.extraRoundTrip()
	for _, n := range m.order {
		timeout := timeout
		if n.contactHistory == 0 { // no contact yet: the link has to come up first
			timeout += 3 * trip
		}
		suspectedVersion, alreadySuspected := m.suspected[n.hash]
		switch {
		case n.self == nil || n.self.Info.Left:
			if alreadySuspected {
				delete(m.suspected, n.hash)
				changed = true
			}
		case alreadySuspected && contactPeriods(n.contactHistory, 2) == 2:
			delete(m.suspected, n.hash)
			n.refutations, n.suspectNotBefore, changed = 0, 0, true
		case alreadySuspected && n.self.Version <= suspectedVersion: // not refuted: the suspicion stays
		case alreadySuspected && !n.subject:
			delete(m.suspected, n.hash)
			changed = true
		case n.subject && contactPeriods(n.contactHistory, timeout) == 0 && n.watchedPeriods >= timeout:
			if alreadySuspected && n.suspectNotBefore == 0 { // refuted: back off, longer each time
				n.refutations = min(n.refutations+1, 3)
				n.suspectNotBefore = m.ticks + m.options.SuspectAfter<<n.refutations
			}
			if alreadySuspected && m.ticks < n.suspectNotBefore ||
				!alreadySuspected && len(m.suspected) >= MaxSuspicions {
				continue
			}
			m.suspected[n.hash] = n.self.Version
			n.suspectNotBefore, changed = 0, true
		}
	}
	for h := range m.suspected {
		if m.nodes[h] == nil {
			delete(m.suspected, h)
			changed = true
		}
	}
	if changed {
		m.publishSuspicions()
	}
}

// quorum returns how many witnesses it takes to declare a member dead.
func (m *Machine) quorum() int {
	n := 0
	for _, o := range m.order {
		if o.present() {
			n++
		}
	}
	if n > Rings {
		return 3
	}
	return 2
}

// extraRoundTrip returns by how many periods the median round trip to the peers exceeds the two periods
// that a heartbeat and its echo may wait. It is the median so that no single peer can delay deaths.
func (m *Machine) extraRoundTrip() int {
	var trips []int
	for _, l := range m.links {
		if m.ticks-l.lastContact <= m.options.SuspectAfter && l.lastEcho > 0 {
			trips = append(trips, m.ticks-int(l.lastEcho))
		}
	}
	if len(trips) == 0 {
		return 0
	}
	slices.Sort(trips)
	return max(trips[len(trips)/2]-2, 0)
}

// updateStates computes the state of each member, and reports the changes.
func (m *Machine) updateStates() {
	for _, n := range m.order {
		n.suspectedBy, n.witnesses, n.lastWitness = nil, 0, ""
	}
	was := map[*node]int{}
	for _, n := range m.order {
		if n.openSuspicions > 0 {
			was[n] = n.openSuspicions
		}
		n.openSuspicions = 0
	}
	for _, o := range m.order {
		if o.suspicions == nil {
			continue
		}
		for _, w := range o.suspicions.Suspicions {
			t := m.nodes[w.Target]
			if t == nil || t.self == nil || t.self.Info.Left || t.id.Name == o.id.Name {
				continue
			}
			refuted := w.Version < t.self.Version
			if (!refuted || o == m.local || o.present()) && !slices.Contains(t.suspectedBy, o.id.Name) {
				t.suspectedBy = append(t.suspectedBy, o.id.Name)
			}
			if refuted {
				continue
			}
			if t == m.local { // refuted by publishing a higher version
				m.overruled[Self] = max(m.overruled[Self], w.Version)
			}
			t.openSuspicions++
			if (o == m.local || o.unsuspectedPeriods >= m.options.WitnessAfter) && t.lastWitness != o.id.Name {
				t.lastWitness = o.id.Name
				t.witnesses++
			}
		}
	}
	// Suspicions and refutations travel over several links, so slow links delay both.
	quorum, grace, pending := m.quorum(), m.options.Grace+5*m.extraRoundTrip(), false
	for _, n := range m.order {
		if n == m.local || n.self == nil {
			continue
		}
		if (n.openSuspicions > 0) != (was[n] > 0) {
			m.observersStale = true // a suspected member doesn't observe others
		}
		if n.openSuspicions == 0 && n.self.Info.Joined && n.unsuspectedPeriods < m.options.WitnessAfter {
			n.unsuspectedPeriods++
		} else if n.openSuspicions > 0 && n.unsuspectedPeriods < m.options.WitnessAfter {
			n.unsuspectedPeriods = 0
		}
		switch {
		case n.state == Dead && n.openSuspicions > 0: // stays dead, also if the quorum has grown or a witness restarted
		case n.witnesses >= quorum && (m.ticks < m.selfSuspectUntil || m.starvedTicks > 0):
			// This agent may have missed a refutation.
		case n.witnesses >= quorum:
			n.quorumPeriods++
			n.belowQuorumPeriods = 0
		case n.openSuspicions > 0:
			n.quorumPeriods = 0
			n.belowQuorumPeriods++
		default:
			n.quorumPeriods, n.belowQuorumPeriods = 0, 0
		}
		if n.state != Dead && (n.belowQuorumPeriods > 0 && n.belowQuorumPeriods <= m.options.CoalescePeriods ||
			n.quorumPeriods > 0 && n.quorumPeriods <= grace) {
			pending = true
		}
	}
	var newlyDead []*node
	for _, n := range m.order {
		if n == m.local || n.self == nil {
			continue
		}
		state := Alive
		switch {
		case n.self.Info.Left:
			state = Left
		case n.state == Dead && n.openSuspicions > 0,
			n.quorumPeriods > grace && (!pending || n.quorumPeriods > grace+m.options.CoalescePeriods):
			state = Dead
		case len(n.suspectedBy) > 0:
			state = Suspect
		case !n.self.Info.Joined:
			state = Joining
		}
		if state == n.state && n.reported {
			continue
		}
		if (state == Dead) != (n.state == Dead) {
			m.observersStale = true
		}
		was := n.state
		if !n.reported {
			was = Joining
		}
		n.state, n.reported, n.since = state, true, m.now
		if state == Dead {
			newlyDead = append(newlyDead, n)
			continue
		}
		m.reportChange(state, stateReason(n, was), n)
	}
	if len(newlyDead) > 0 {
		m.reportChange(Dead, deathReason(newlyDead), newlyDead...)
	}
}

// stateReason returns the reason of a change of one member, for operators.
func stateReason(n *node, was State) string {
	switch n.state {
	case Left:
		return "it has said so"
	case Suspect:
		return strings.Join(n.suspectedBy, ", ") + " reported no contact with it"
	case Joining:
		return "its first record has arrived"
	}
	if was == Suspect || was == Dead {
		return "no observer suspects it any more"
	}
	return "it has joined"
}

// deathReason returns the reason of deaths, for operators; it names the machine or zone that all have in
// common.
func deathReason(dead []*node) string {
	zone, machine := dead[0].self.Info.Zone, dead[0].self.Info.Machine
	for _, n := range dead {
		if n.self.Info.Zone != zone {
			zone = ""
		}
		if n.self.Info.Machine != machine {
			machine = ""
		}
	}
	where := ""
	switch {
	case len(dead) == 1:
	case machine != "":
		where = "all on machine " + machine + "; "
	case zone != "":
		where = "all in zone " + zone + "; "
	}
	return where + "suspected by " + strings.Join(dead[0].suspectedBy, ", ") + ", and it has not refuted the suspicions"
}

// reportChange adds a change to the output.
func (m *Machine) reportChange(s State, why string, nodes ...*node) {
	c := Change{At: m.now, State: s, Reason: why}
	for _, n := range nodes {
		c.IDs = append(c.IDs, n.id)
	}
	m.out.Changes = append(m.out.Changes, c)
}

// updateOwnRecords refutes suspicions of this process, overrules forged records, and publishes when the
// process has joined.
func (m *Machine) updateOwnRecords() {
	if m.overruled[Suspects] > 0 {
		m.publishSuspicions()
	}
	if m.overruled[Orders] > 0 {
		m.publishOrders(m.orders)
	}
	info, publish := m.local.self.Info, m.overruled[Self] > 0 // a new version also refutes suspicions
	if !info.Joined && !info.Left {
		converged := false
		for _, l := range m.links {
			converged = converged || l.digest == m.view.digest
		}
		if converged || m.ticks >= 3*m.options.SuspectAfter {
			info.Joined, publish = true, true
		}
	}
	if !info.Twin {
		for _, o := range m.nodesNamed(m.options.ID.Name) {
			if o != m.local && o.self != nil && o.self.Info.Twin && o.present() {
				info.Twin, publish = true, true
			}
		}
	}
	if publish {
		m.publishInfo(info)
	}
}

// expire removes members that have been suspect, dead or left for long, and ends bars.
func (m *Machine) expire() {
	for h, until := range m.barredUntil {
		if m.now > until {
			delete(m.barredUntil, h)
		}
	}
	for _, n := range slices.Clone(m.order) {
		switch {
		case n == m.local:
		case n.state >= Suspect && m.now-n.since > m.options.ForgetAfter:
			m.barredUntil[n.hash] = m.now + m.options.ForgetAfter
			m.removeNode(n)
		}
	}
}

// idleLinkTicks is how many ticks a link that isn't needed is kept.
const idleLinkTicks = 6

// planLinks decides which links to dial and which to drop. It dials subjects and requested members, up to
// two unreachable ones a tick, and now and then a seed that isn't a known member.
func (m *Machine) planLinks() {
	var unreachable []*node
	live := 0
	known := map[string]bool{m.local.self.Info.Address: true}
	for _, n := range m.order {
		if n == m.local || n.self == nil || n.self.Info.Left {
			continue
		}
		up := m.links[n.id] != nil
		if n.state == Alive {
			live++
			known[n.self.Info.Address] = true
		}
		switch {
		case up || !n.subject && !slices.Contains(m.requestedLinks, n.id.Name):
		case !n.updatedSinceSuspected && (n.state == Dead || n.state == Suspect && m.suspected[n.hash] != 0):
			unreachable = append(unreachable, n)
		default:
			n.updatedSinceSuspected = false
			m.out.Dial = append(m.out.Dial, Target{n.id, n.self.Info.Address})
		}
	}
	for range min(len(unreachable), 2) {
		at := m.rng.IntN(len(unreachable))
		m.out.Dial = append(m.out.Dial, Target{unreachable[at].id, unreachable[at].self.Info.Address})
		unreachable = slices.Delete(unreachable, at, at+1)
	}
	var seeds []string
	for _, s := range m.options.Seeds {
		if !known[s] {
			seeds = append(seeds, s)
		}
	}
	if len(seeds) > 0 && (live == 0 || m.rng.IntN(4) == 0) {
		m.out.Dial = append(m.out.Dial, Target{Address: seeds[m.rng.IntN(len(seeds))]})
	}
	for _, id := range m.linkedIDs() {
		l := m.links[id]
		n := m.nodes[id.Hash()]
		if m.ticks-l.upSince > idleLinkTicks && l.digest == m.view.digest && (n == nil || !n.subject) &&
			!m.observers[id] && !slices.Contains(m.requestedLinks, id.Name) {
			m.out.Drop = append(m.out.Drop, id)
		}
	}
}

// Member is one process in a View.
type Member struct {
	ID          ID
	Info        Info
	State       State
	Since       time.Duration // start of the state, by the caller's clock
	SuspectedBy []string      // names of observers that suspect it
	Watched     bool          // this agent observes it
	Linked      bool
	Twin        bool // another process runs under the same name
	Version     uint64
	Orders      string // its published orders; empty: none
}

// View is an agent's view of the fleet.
type View struct {
	Self              ID
	Converged         bool
	UnconvergedReason string // why it hasn't converged; empty: it has
	Digest            uint64
	SelfSuspicion     string // why this agent may be at fault itself; empty: no sign of that
	Reachable         int    // members that are joining or alive, itself included
	Known             int    // members that haven't left
	Members           []Member
}

// View returns the current view.
func (m *Machine) View() View {
	v := View{Self: m.options.ID, Digest: m.view.digest}
	names := map[string]int{}
	for _, n := range m.order {
		if n.present() {
			names[n.id.Name]++
		}
	}
	undecided := ""
	for _, n := range m.order {
		if n.self == nil {
			continue
		}
		state := n.state
		if n == m.local {
			switch {
			case n.self.Info.Left:
				state = Left
			case n.self.Info.Joined:
				state = Alive
			}
		}
		b := Member{
			ID:          n.id,
			Info:        n.self.Info,
			State:       state,
			Since:       n.since,
			SuspectedBy: n.suspectedBy,
			Watched:     n.subject,
			Linked:      m.links[n.id] != nil,
			Version:     n.self.Version,
			Twin:        names[n.id.Name] > 1,
		}
		if n.orders != nil {
			b.Orders = n.orders.Raw
		}
		v.Members = append(v.Members, b)
		if state != Left {
			v.Known++
			if state <= Alive {
				v.Reachable++
			}
		}
		if state == Suspect || state == Joining {
			undecided = fmt.Sprintf("%s is %s", n.id.Name, state)
		}
	}
	switch {
	case m.starvedTicks > 0:
		v.SelfSuspicion = "this process was paused or starved of CPU time"
	case m.isolated:
		v.SelfSuspicion = fmt.Sprintf("no peer is reachable; this agent may be partitioned: I see %d of %d",
			v.Reachable, v.Known)
	case 2*v.Reachable <= v.Known && v.Known > 1:
		v.SelfSuspicion = fmt.Sprintf("this agent may be partitioned: I see %d of %d", v.Reachable, v.Known)
	}
	diverged := ""
	for _, id := range m.linkedIDs() {
		if m.links[id].digest != m.view.digest {
			diverged = id.Name
		}
	}
	switch {
	case v.SelfSuspicion != "":
		v.UnconvergedReason = v.SelfSuspicion
	case undecided != "":
		v.UnconvergedReason = undecided
	case diverged != "":
		v.UnconvergedReason = "the view of " + diverged + " differs"
	case m.unchangedTicks < 2:
		v.UnconvergedReason = "the view has just changed"
	}
	v.Converged = v.UnconvergedReason == ""
	return v
}

// Digest returns the digest of the view. Two views with the same records have the same digest.
func (m *Machine) Digest() uint64 { return m.view.digest }

// StateOf returns the state and the Info of a process, and whether it is known.
func (m *Machine) StateOf(id ID) (s State, info Info, ok bool) {
	n := m.nodes[id.Hash()]
	if n == nil || n.self == nil {
		return s, info, false
	}
	s = n.state
	if n == m.local && n.self.Info.Joined {
		s = Alive
	}
	return s, n.self.Info, true
}

// OrdersOf returns the orders that a process has published, or "" if it has none or isn't known.
func (m *Machine) OrdersOf(id ID) string {
	if n := m.nodes[id.Hash()]; n != nil && n.orders != nil {
		return n.orders.Raw
	}
	return ""
}

// Avoid returns the names of the members of a role that should get no new requests if there are others:
// those that are dead or have left, are evacuating or ending, or are suspected by at least two observers.
// It returns none while this agent suspects itself.
func (v *View) Avoid(role string) (names []string) {
	if v.SelfSuspicion != "" {
		return nil
	}
	for _, m := range v.Members {
		leaving := m.Info.Process == "evacuating" || m.Info.Process == "ending"
		if m.Info.Role == role && !m.Twin && (m.State >= Dead || leaving || len(m.SuspectedBy) > 1) {
			names = append(names, m.ID.Name)
		}
	}
	return names
}

// AgentRank returns the number of agents among which fleet-wide limits are divided, and this agent's rank
// among them by name, from 0. Members believed dead count until they are forgotten, so that a false
// belief doesn't raise an agent's portion.
func (m *Machine) AgentRank() (agents, rank int) {
	last := ""
	for _, n := range m.order {
		if n.self == nil || n.self.Info.Left || n.id.Name == last {
			continue
		}
		last = n.id.Name
		if n.id.Name < m.options.ID.Name {
			rank++
		}
		agents++
	}
	return agents, rank
}
