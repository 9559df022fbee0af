// Package crossing implements the two state machines of a crossing: a request that is forwarded over a
// link from one gateway, the sender, to another, the receiver. It has no I/O, no clock and no
// goroutines. A machine is called from one goroutine or under one lock: a Sender by the forwarding
// transport, a Receiver by the session of the remote gateway.
//
// The protocol guarantees that the sender retries or rejects a request only with proof that the
// crossing never started. The proof is the receiver's message NotStarted, sent when it rejected the
// crossing, ended it before it started, or fenced it on a Query or Cancel of the sender. A fenced
// crossing can't start, whatever messages of it are still in flight. Without proof the crossing is
// Lost: it may have run, but no work on it continues, because the receiver ends all work at the end of
// the lease and the sender waits for longer than that.
//
// The tests search the state space of these machines exhaustively, over networks that delay, reorder
// between connections, cut and stall. Package gateway uses the same code.
package crossing

// Conn is the number of a connection of a link at one end; 0 is none.
type Conn uint32

// Msg is the type of a message about one crossing.
type Msg uint8

// The messages. Offer, Query and Cancel go to the receiver, the others to the sender.
const (
	None          Msg = iota
	Offer             // forwards a request
	Query             // asks for the state of the crossing and fences it if it has not started
	Cancel            // the client has left: fence the crossing, or end its work
	Completed         // it ran and has ended; carries the answer
	NotStarted        // it has not started and never will
	Started           // it has started; Completed will follow
	Indeterminate     // the receiver does not know it and cannot fence it
)

// String returns the name of a message, as used in logs.
func (m Msg) String() string {
	return [...]string{"none", "offer", "fence", "cancel", "ended", "never", "begun", "unsure"}[m]
}

// Outcome is the result of a crossing for the sender.
type Outcome uint8

// The values of Outcome.
const (
	Pending  Outcome = iota // no result yet
	Answered                // it ran; the answer is available
	NeverRan                // it never ran and never will: it may be retried or rejected
	Lost                    // it may have run, but no work on it continues
)

// SenderState is the state of a crossing at the sender.
type SenderState uint8

// The values of SenderState.
const (
	Queued   SenderState = iota // nothing was written
	Offered                     // written to a connection that is assumed to be up
	Querying                    // its connection is lost or it was cancelled: the receiver must be asked
	Closed                      // it has an outcome
)

// Sender is the state machine of a crossing at the forwarding gateway. The zero Sender is queued.
type Sender struct {
	State     SenderState
	Cancelled bool // the client has left
	letRun    bool // but work that has started may finish
	On        Conn // connection of the last message sent; 0: lost, or none
}

// Write records that the offer is to be written to a connection, and reports whether it may be.
func (n *Sender) Write(on Conn) bool {
	if n.State != Queued || on == 0 {
		return false
	}
	n.State, n.On = Offered, on
	return true
}

// ConnLost handles the loss of a connection; other is one that is up, or 0. It returns the message to
// write to that one.
func (n *Sender) ConnLost(lost, other Conn) Msg {
	if n.On != lost || n.State != Offered && n.State != Querying {
		return None
	}
	n.State, n.On = Querying, 0
	return n.ConnUp(other)
}

// ConnUp handles a new connection to the process that was offered the crossing, and returns the
// message to write to it.
func (n *Sender) ConnUp(on Conn) Msg {
	if n.State != Querying || n.On != 0 || on == 0 {
		return None
	}
	n.On = on
	return n.query()
}

// query returns the message that asks the receiver for the state.
func (n *Sender) query() Msg {
	if n.Cancelled && !n.letRun {
		return Cancel
	}
	return Query
}

// Cancel handles a client that has left; on is a connection that is up, or 0. A queued crossing ends
// at once. Otherwise the receiver decides: it fences a crossing that has not started, and ends one
// that has unless keep is set. Cancel returns the message to write and the outcome.
func (n *Sender) Cancel(on Conn, letRun bool) (Msg, Outcome) {
	switch {
	case n.State == Queued:
		n.State = Closed
		return None, NeverRan
	case n.State == Closed || n.Cancelled:
		return None, Pending
	}
	n.Cancelled, n.letRun = true, letRun
	if on == 0 {
		n.State, n.On = Querying, 0
		return None, Pending
	}
	n.State, n.On = Querying, on
	return n.query(), Pending
}

// Receive handles a message of the receiver and returns the outcome.
func (n *Sender) Receive(msg Msg) Outcome {
	if n.State == Closed || n.State == Queued {
		return Pending
	}
	switch msg {
	case Completed:
		n.State = Closed
		return Answered
	case NotStarted:
		n.State = Closed
		return NeverRan
	}
	// Started and Indeterminate decide nothing: an answer follows, or the end of the lease.
	return Pending
}

// PeerRestarted handles the end of the process that was offered the crossing: work that it had started
// is over.
func (n *Sender) PeerRestarted() Outcome { return n.ExpireLease() }

// ExpireLease handles the end of the lease at the receiver, by any clock: the crossing can neither
// start nor continue there.
func (n *Sender) ExpireLease() Outcome {
	switch n.State {
	case Closed:
		return Pending
	case Queued:
		n.State = Closed
		return NeverRan
	}
	n.State = Closed
	return Lost
}

// ReceiverState is the state of a crossing at the receiver.
type ReceiverState uint8

// The values of ReceiverState.
const (
	Unknown  ReceiverState = iota // no message was received
	Accepted                      // waiting for its first attempt
	Running                       // the first byte of its first attempt may have been written
	Done                          // it ran and has ended
	Fenced                        // it never started and never will
)

// Action is what the receiver must do besides its reply.
type Action uint8

// The values of Action.
const (
	NoAction      Action = iota
	Run                  // pass it to the core
	Stop                 // end the work on it, including queued work
	ProtocolError        // the peer violates the protocol: close its connection
)

// Conditions are the circumstances at the receiver under which a message arrives.
type Conditions struct {
	LeaseExpired bool // the lease of the crossing is over
	Draining     bool // the receiver accepts no new requests
	Full         bool // the receiver has no capacity for another crossing
}

// Receiver is the state machine of a crossing at the remote gateway. The zero Receiver is unknown.
type Receiver struct {
	State   ReceiverState
	On      Conn // connection of the last message received; 0: lost
	Offered bool // its offer was received
}

// Offer handles a complete offer.
func (f *Receiver) Offer(on Conn, t Conditions) (Msg, Action) {
	if f.Offered {
		return None, ProtocolError // the number of a crossing is used only once
	}
	f.Offered = true
	switch f.State {
	case Unknown:
		f.On = on
		if t.LeaseExpired || t.Draining || t.Full {
			f.State = Fenced
			return NotStarted, NoAction
		}
		f.State = Accepted
		return None, Run
	case Fenced: // a query or a cancel has overtaken it
		f.On = on
		return NotStarted, NoAction
	}
	return None, ProtocolError
}

// Start reports whether the first byte of an attempt may be written.
func (f *Receiver) Start(t Conditions) bool {
	switch f.State {
	case Accepted:
		if t.LeaseExpired {
			return false
		}
		f.State = Running
		return true
	case Running:
		return !t.LeaseExpired
	}
	return false
}

// Finish handles the one final answer of the core; ran reports whether an attempt may have run. The
// returned message goes to On, if that is up.
func (f *Receiver) Finish(ran bool) Msg {
	switch f.State {
	case Running:
		if ran {
			f.State = Done
			return Completed
		}
		f.State = Fenced // all attempts were rejected by the servers
		return NotStarted
	case Accepted:
		f.State = Fenced
		return NotStarted
	}
	return None
}

// Query handles the Query of a sender that has lost a connection. A crossing that is unknown and whose
// lease is over may have been known and forgotten, and one that can't be recorded for lack of capacity
// can't be fenced: the answer is Indeterminate for both.
func (f *Receiver) Query(on Conn, t Conditions) (Msg, Action) {
	f.On = on
	switch f.State {
	case Unknown:
		if t.LeaseExpired || t.Full {
			return Indeterminate, NoAction
		}
		f.State = Fenced
		return NotStarted, NoAction
	case Accepted:
		f.State = Fenced
		return NotStarted, Stop
	case Running:
		return Started, NoAction
	case Done:
		return Completed, NoAction
	}
	return NotStarted, NoAction
}

// Cancel handles a Cancel: like a Query, but it also ends running work; Finish follows.
func (f *Receiver) Cancel(on Conn, t Conditions) (Msg, Action) {
	m, act := f.Query(on, t)
	if f.State == Running {
		return None, Stop
	}
	return m, act
}

// ConnLost handles the loss of a connection; last reports whether it was the last one of the sender.
// Then the receiver is unreachable for a while, and a crossing that has not started is fenced, so that
// the sender can forward it elsewhere.
func (f *Receiver) ConnLost(lost Conn, last bool) Action {
	if f.On == lost {
		f.On = 0
	}
	if last && f.State == Accepted {
		f.State = Fenced
		return Stop
	}
	return NoAction
}

// ExpireLease handles the end of the lease: waiting work is fenced, running work is ended, and Finish
// follows.
func (f *Receiver) ExpireLease() (Msg, Action) {
	switch f.State {
	case Accepted:
		f.State = Fenced
		return NotStarted, Stop
	case Running:
		return None, Stop
	}
	return None, NoAction
}

// CanForget reports whether the state of the crossing may be dropped: it is over, and so is its lease,
// so that an offer still in flight is rejected for its age. If the offer was received and the sender
// has acknowledged the outcome, no message that may still arrive can do harm.
func (f *Receiver) CanForget(leaseExpired, acknowledged bool) bool {
	return (leaseExpired || acknowledged && f.Offered) && (f.State == Done || f.State == Fenced)
}
