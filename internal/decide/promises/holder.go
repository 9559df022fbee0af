package promises

import (
	"slices"
	"time"
)

// Options configures a Machine.
type Options struct {
	Me           Holder
	Machine      string
	Zone         string
	Replicas     int  // number of replicas wanted, up to MaxReplicas
	AllowFewer   bool // begin requests with fewer replicas if there are no more candidates; otherwise reject them
	Retention    time.Duration
	TimeoutTicks int // ticks without a reply after which a replica is replaced
}

// Send is a message to be sent to a process.
type Send struct {
	To  Peer
	Msg Msg
}

// Output is the result of one input.
type Output struct {
	Send    []Send
	Propose *Entry // for the council; its outcome is passed to ProposalResult
	Begin   []Key  // requests that may begin
	Reject  []Key  // requests that must not begin: there are too few replicas, or the holder is sealed
	Sealed  bool   // the holder has been sealed: no request begins any more
	Short   int    // number of missing replicas if it has changed with this input, else -1
}

// phase is the phase of a holder in establishing an epoch.
type phase uint8

const (
	idle      phase = iota // no epoch, or too few replicas for the next
	joining                // the next epoch's replicas are sent the retained keys
	proposing              // the council has been asked to commit the epoch
	active
	sealed
)

// Machine is the holder's state machine.
type Machine struct {
	options       Options
	phase         phase
	epoch         uint64 // the latest committed
	replicas      []Peer // of that epoch; while joining and proposing: of the next
	joined        map[Peer]bool
	phaseSince    int // tick at which the phase began
	lastSent      int // tick at which the replicas were last sent a batch
	ticks         int
	seq           uint64
	inFlight      []batch // unacknowledged batches, in the order of sending
	waiting       []Key
	begun         map[Key]time.Duration
	now           time.Duration
	councilKnown  bool         // a council is known
	excludedUntil map[Peer]int // replicas that rejected or timed out: tick until which they aren't chosen
	short         int
}

// batch is a message to all replicas that not all of them have acknowledged.
type batch struct {
	seq    uint64
	keys   []Key
	acked  map[Peer]bool
	sentAt int // tick
}

// maxInFlight is the maximum number of batches in flight. Keys that arrive meanwhile are batched together.
const maxInFlight = 4

// NewHolder returns a Machine without an epoch.
func NewHolder(o Options) *Machine {
	return &Machine{options: o, begun: map[Key]time.Duration{}, excludedUntil: map[Peer]int{}, short: -1}
}

// Epoch returns the latest committed epoch and the replicas. established is false while the next epoch is
// being set up; the replicas are then those of the next.
func (m *Machine) Epoch() (epoch uint64, replicas []Peer, established bool) {
	return m.epoch, slices.Clone(m.replicas), m.phase == active
}

// PromisedCount returns the number of keys that have begun and are still retained.
func (m *Machine) PromisedCount() int { return len(m.begun) }

// WaitingCount returns the number of keys that are queued or in a batch in flight.
func (m *Machine) WaitingCount() (n int) {
	for i := range m.inFlight {
		n += len(m.inFlight[i].keys)
	}
	return n + len(m.waiting)
}

// Tick processes the passing of a tick. all are the candidates for replicas; councilKnown reports whether a council
// is known.
func (m *Machine) Tick(now time.Duration, councilKnown bool, all []Candidate) Output {
	out := Output{Short: -1}
	m.now, m.councilKnown = max(m.now, now), councilKnown
	m.ticks++
	for k, at := range m.begun {
		if now-at > m.options.Retention {
			delete(m.begun, k)
		}
	}
	for id, until := range m.excludedUntil {
		if until < m.ticks {
			delete(m.excludedUntil, id)
		}
	}
	if m.phase == sealed {
		return out
	}
	candidates := slices.Clone(all)
	for i := range candidates {
		candidates[i].Healthy = candidates[i].Healthy && m.excludedUntil[candidates[i].ID] == 0
	}
	healthy := func(id Peer) bool {
		return slices.ContainsFunc(candidates, func(c Candidate) bool { return c.ID == id && c.Healthy })
	}
	timedOut := m.ticks-m.phaseSince > m.options.TimeoutTicks
	switch m.phase {
	case active:
		for _, id := range m.replicas {
			if len(m.inFlight) > 0 && m.ticks-m.inFlight[0].sentAt > m.options.TimeoutTicks &&
				!m.inFlight[0].acked[id] {
				m.exclude(id)
			}
		}
		next := chooseReplicas(
			m.options.Me, m.options.Machine, m.options.Zone, m.options.Replicas, m.replicas, candidates)
		lost := slices.ContainsFunc(m.replicas, func(id Peer) bool { return !healthy(id) || m.excludedUntil[id] > 0 })
		if lost || len(next) > len(m.replicas) {
			m.join(candidates, &out)
		} else if len(m.replicas) > 0 && len(m.inFlight) == 0 && m.ticks-m.lastSent >= 2*m.options.TimeoutTicks {
			// No request has begun for a while: an empty batch finds replicas that have sealed the holder or
			// don't respond.
			m.sendBatch(nil, &out)
		}
	case idle:
		if councilKnown {
			m.join(candidates, &out)
		} else if !m.options.AllowFewer || m.epoch > 0 {
			out.Reject, m.waiting = append(out.Reject, m.waiting...), nil
		}
	case joining:
		switch lost := slices.ContainsFunc(m.replicas, func(id Peer) bool { return !healthy(id) }); {
		case timedOut:
			for _, id := range m.replicas {
				if !m.joined[id] {
					m.exclude(id)
				}
			}
			fallthrough
		case lost:
			m.join(candidates, &out)
		}
	case proposing:
		if timedOut { // ask again: no other epoch may be proposed before the outcome of this one is known
			m.propose(&out)
		}
	}
	return out
}

// exclude bars a replica from being chosen for 8 time-outs.
func (m *Machine) exclude(id Peer) { m.excludedUntil[id] = m.ticks + 8*m.options.TimeoutTicks }

// join starts to set up the next epoch with healthy candidates.
func (m *Machine) join(candidates []Candidate, out *Output) {
	m.requeue()
	for i := range candidates {
		candidates[i].Healthy = candidates[i].Healthy && m.excludedUntil[candidates[i].ID] == 0
	}
	var keep []Peer
	if m.phase != idle {
		keep = m.replicas
	}
	next := chooseReplicas(m.options.Me, m.options.Machine, m.options.Zone, m.options.Replicas, keep, candidates)
	if short := m.options.Replicas - len(next); short != m.short {
		m.short, out.Short = short, short
	}
	if len(next) < m.options.Replicas && !m.options.AllowFewer {
		// The retained keys are still at the replicas of the latest epoch; no new request begins.
		m.phase, m.replicas, m.phaseSince = idle, next, m.ticks
		out.Reject = append(out.Reject, m.waiting...)
		m.waiting = nil
		return
	}
	m.phase, m.replicas, m.phaseSince, m.joined = joining, next, m.ticks, map[Peer]bool{}
	msg := Msg{Kind: Join, Holder: m.options.Me, Epoch: m.epoch + 1}
	for k := range m.begun {
		msg.Keys = append(msg.Keys, k)
	}
	slices.SortFunc(msg.Keys, Key.compare)
	for _, k := range msg.Keys {
		msg.Ages = append(msg.Ages, ageMillis(m.now, m.begun[k]))
	}
	for _, id := range next {
		out.Send = append(out.Send, Send{id, msg})
	}
	if len(next) == 0 {
		m.propose(out)
	}
}

// requeue puts the keys of all batches in flight back into the queue. Some replicas may have recorded them,
// but none of them has begun.
func (m *Machine) requeue() {
	var keys []Key
	for i := range m.inFlight {
		keys = append(keys, m.inFlight[i].keys...)
	}
	m.waiting, m.inFlight = append(keys, m.waiting...), nil
}

// propose asks the council to commit the epoch whose replicas have joined.
func (m *Machine) propose(out *Output) {
	m.phase, m.phaseSince = proposing, m.ticks
	out.Propose = &Entry{Holder: m.options.Me, Epoch: m.epoch + 1, Replicas: slices.Clone(m.replicas)}
}

// ProposalResult passes in the council's result of a proposed epoch. After an error that isn't one of this
// package the result is unknown, and the epoch is proposed again. The result of an earlier epoch, which may
// arrive late if that was proposed twice, is ignored.
func (m *Machine) ProposalResult(e *Entry, err error) Output {
	out := Output{Short: -1}
	switch {
	case m.phase != proposing || e.Epoch != m.epoch+1 || !slices.Equal(e.Replicas, m.replicas):
	case err == nil:
		m.phase, m.phaseSince = active, m.ticks
		m.epoch++
		m.flush(&out)
	case err == ErrSealed || err == ErrEpoch: // or evicted, or another process has this name
		m.seal(&out)
	}
	return out
}

func (m *Machine) seal(out *Output) {
	m.phase, out.Sealed = sealed, true
	m.requeue()
	out.Reject = append(out.Reject, m.waiting...)
	m.waiting = nil
}

// Begin asks for permission to begin a request.
func (m *Machine) Begin(now time.Duration, k Key) Output {
	out := Output{Short: -1}
	m.now = max(m.now, now)
	_, again := m.begun[k]
	switch {
	case m.phase == sealed,
		m.phase == idle && m.ticks > m.options.TimeoutTicks && (!m.options.AllowFewer || m.epoch > 0),
		len(m.begun)+len(m.waiting) >= MaxKeys:
		out.Reject = []Key{k}
	case m.phase == idle && m.options.AllowFewer && m.epoch == 0 && !m.councilKnown:
		// There are no replicas and none have been asked to join, so no false verdict is possible. Replicas
		// that join later are sent this key too.
		m.begun[k] = m.now
		out.Begin = []Key{k}
	case again:
		out.Begin = []Key{k}
	default:
		m.waiting = append(m.waiting, k)
		m.flush(&out)
	}
	return out
}

// flush sends the queued keys, as far as the maximum number of batches in flight allows.
func (m *Machine) flush(out *Output) {
	for m.phase == active && len(m.waiting) > 0 && len(m.inFlight) < maxInFlight {
		n := min(len(m.waiting), maxBatch)
		keys := slices.Clone(m.waiting[:n])
		if m.waiting = slices.Clone(m.waiting[n:]); len(m.replicas) == 0 {
			m.release(keys, out)
			continue
		}
		m.sendBatch(keys, out)
	}
}

// sendBatch sends keys to all replicas. A batch without keys checks whether they still accept batches.
func (m *Machine) sendBatch(keys []Key, out *Output) {
	m.seq++
	m.lastSent = m.ticks
	m.inFlight = append(m.inFlight, batch{seq: m.seq, keys: keys, acked: map[Peer]bool{}, sentAt: m.ticks})
	for _, id := range m.replicas {
		out.Send = append(out.Send, Send{id, Msg{
			Kind:   Batch,
			Holder: m.options.Me,
			Epoch:  m.epoch,
			Seq:    m.seq,
			Keys:   keys,
		}})
	}
}

// Receive processes a replica's message.
func (m *Machine) Receive(now time.Duration, from Peer, msg *Msg) Output {
	out := Output{Short: -1}
	m.now = max(m.now, now)
	if !slices.Contains(m.replicas, from) || msg.Holder != m.options.Me {
		return out
	}
	switch {
	case msg.Kind == Nack && (m.phase == active || m.phase == joining):
		// The replica accepts no more batches. Whether the holder has been sealed is known from the council's
		// answer to the next epoch.
		m.exclude(from)
	case msg.Kind == Joined && m.phase == joining && msg.Epoch == m.epoch+1:
		m.joined[from] = true
		if len(m.joined) == len(m.replicas) {
			m.propose(&out)
		}
	case msg.Kind == Ack && m.phase == active && msg.Epoch == m.epoch:
		at := slices.IndexFunc(m.inFlight, func(b batch) bool { return b.seq == msg.Seq })
		if at < 0 {
			break
		}
		if m.inFlight[at].acked[from] = true; len(m.inFlight[at].acked) == len(m.replicas) {
			keys := m.inFlight[at].keys
			m.inFlight = slices.Delete(m.inFlight, at, at+1)
			m.release(keys, &out)
			m.flush(&out)
		}
	}
	return out
}

// release permits keys to begin.
func (m *Machine) release(keys []Key, out *Output) {
	for _, k := range keys {
		m.begun[k] = m.now
	}
	out.Begin = append(out.Begin, keys...)
}

// Cancel removes a key from the queue because its request is no longer wanted. A key that is in a batch
// already may still begin.
func (m *Machine) Cancel(k Key) {
	m.waiting = slices.DeleteFunc(m.waiting, func(o Key) bool { return o == k })
}

// ReplicateReply returns messages that send a reply to the replicas. They aren't acknowledged.
func (m *Machine) ReplicateReply(k Key, r Reply) (send []Send) {
	if m.phase != active || len(r.Body) > MaxReply {
		return nil
	}
	if _, promised := m.begun[k]; !promised {
		return nil
	}
	for _, id := range m.replicas {
		send = append(send, Send{id, Msg{
			Kind:   Answered,
			Holder: m.options.Me,
			Epoch:  m.epoch,
			Keys:   []Key{k},
			Reply:  &r,
		}})
	}
	return send
}
