// Package crossing holds the two state machines of a crossing: a request on its way over a
// link from a near gateway to a far one. It has no I/O, no time and no goroutine of its
// own. Who owns a machine calls it from one goroutine or under one lock: the near
// transport for each Near, the far session for each Far.
//
// What the two settle together: the near end may send a request again or refuse it only
// with proof that its crossing never began. The proof is the far end's word Never, which
// it says where it turned the crossing away, ended it without a begin, or bars it because
// the near end asks (a fence, or a cancel). A crossing that is barred can't begin, whatever
// of it still lies in a link. Where no proof comes the crossing is Lost: it may have run,
// but nothing of it is under way any more, since the far end ends all work on it at the end
// of its lease, which the near end outwaits.
//
// The same machines are searched exhaustively in the tests, over networks that delay,
// overtake, cut and stall, and driven by package gateway; there is no copy.
package crossing

// Conn numbers a connection of a link at one end; 0 is none.
type Conn uint32

// Msg is a message about one crossing, without its contents.
type Msg uint8

// The messages. Offer, Fence and Cancel go to the far end, the others to the near one.
const (
	None   Msg = iota
	Offer      // here is a request
	Fence      // what has become of it? if it has not begun, bar it
	Cancel     // nobody waits for it any more: bar it, or end it
	Ended      // it began and has ended; the answer is with it
	Never      // it never began and never will
	Begun      // it has begun; Ended will follow
	Unsure     // the far end knows nothing of it and can't bar it
)

// String is the name of a message, as logs and tests have it.
func (m Msg) String() string {
	return [...]string{"none", "offer", "fence", "cancel", "ended", "never", "begun", "unsure"}[m]
}

// Verdict is what a crossing has come to for the near end.
type Verdict uint8

// The verdicts.
const (
	Open    Verdict = iota // nothing yet
	Answer                 // it ran; the answer is at hand
	NeverIn                // it never ran, and never will: it may be sent again or refused
	Lost                   // it may have run, and nothing of it is under way any more
)

// NearState is where a crossing stands at the near end.
type NearState uint8

// The near end's states.
const (
	Queued  NearState = iota // not a byte of it was written
	Offered                  // written to a connection that is thought to be up
	Asking                   // its connection is lost: the far end is to be asked
	Closed                   // it has its verdict
)

// Near is a crossing at the near end. The zero Near is queued.
type Near struct {
	State     NearState
	Cancelled bool // nobody waits for it
	keep      bool // but what has begun of it is let run
	On        Conn // where the last word of it went out; 0: that is lost, or there is none
}

// Write asks to write the offer to a connection; false means that nothing may be written.
func (n *Near) Write(on Conn) bool {
	if n.State != Queued || on == 0 {
		return false
	}
	n.State, n.On = Offered, on
	return true
}

// Lose tells that a connection is lost, and other is one that is up, or 0. It returns what
// is to be written to that one.
func (n *Near) Lose(lost, other Conn) Msg {
	if n.On != lost || n.State != Offered && n.State != Asking {
		return None
	}
	n.State, n.On = Asking, 0
	return n.Up(other)
}

// Up tells that a connection to the process that was offered the crossing is up, and
// returns what is to be written to it.
func (n *Near) Up(on Conn) Msg {
	if n.State != Asking || n.On != 0 || on == 0 {
		return None
	}
	n.On = on
	return n.word()
}

// word is what the far end is asked.
func (n *Near) word() Msg {
	if n.Cancelled && !n.keep {
		return Cancel
	}
	return Fence
}

// Cancel tells that nobody waits any more; on is a connection that is up, or 0. What was
// not written is over at once; of the rest the far end has the word: it bars what has not
// begun there, and ends what has, unless that is to be kept.
func (n *Near) Cancel(on Conn, keep bool) (Msg, Verdict) {
	switch {
	case n.State == Queued:
		n.State = Closed
		return None, NeverIn
	case n.State == Closed || n.Cancelled:
		return None, Open
	}
	n.Cancelled, n.keep = true, keep
	if on == 0 {
		n.State, n.On = Asking, 0
		return None, Open
	}
	n.State, n.On = Asking, on
	return n.word(), Open
}

// Got takes the far end's word.
func (n *Near) Got(m Msg) Verdict {
	if n.State == Closed || n.State == Queued {
		return Open
	}
	switch m {
	case Ended:
		n.State = Closed
		return Answer
	case Never:
		n.State = Closed
		return NeverIn
	}
	// Begun and Unsure settle nothing: an answer follows, or the end of the lease.
	return Open
}

// Gone tells that the process that was offered the crossing is no more: another stands in
// its place. What had begun there is over.
func (n *Near) Gone() Verdict { return n.Expire() }

// Expire tells that the lease is over at the far end, whatever its clock says: nothing of
// the crossing can begin or go on there.
func (n *Near) Expire() Verdict {
	switch n.State {
	case Closed:
		return Open
	case Queued:
		n.State = Closed
		return NeverIn
	}
	n.State = Closed
	return Lost
}

// FarState is where a crossing stands at the far end.
type FarState uint8

// The far end's states.
const (
	Unknown FarState = iota // nothing has come of it
	Taken                   // it waits for its first attempt
	Running                 // its first attempt's first byte may have been written
	Done                    // it ran and has ended
	Barred                  // it never began and never will
)

// Act is what the far end is to do besides its reply.
type Act uint8

// The acts.
const (
	Nothing  Act = iota
	Run          // hand it to the core
	Stop         // end the work on it, also what waits
	Violates     // the peer breaks the protocol: its connection is to be closed
)

// Terms is under what an offer comes.
type Terms struct {
	Lapsed   bool // its lease is over
	Draining bool // the far end takes nothing new
	Full     bool // or can't hold more
}

// Far is a crossing at the far end. The zero Far is unknown.
type Far struct {
	State   FarState
	On      Conn // where the last word of it came; 0: that is lost
	Offered bool // its offer has come
}

// Offer takes a whole offer.
func (f *Far) Offer(on Conn, t Terms) (Msg, Act) {
	if f.Offered {
		return None, Violates // a number is used once
	}
	f.Offered = true
	switch f.State {
	case Unknown:
		f.On = on
		if t.Lapsed || t.Draining || t.Full {
			f.State = Barred
			return Never, Nothing
		}
		f.State = Taken
		return None, Run
	case Barred: // a fence or a cancel has overtaken it
		f.On = on
		return Never, Nothing
	}
	return None, Violates
}

// Begin asks to write the first byte of an attempt.
func (f *Far) Begin(t Terms) bool {
	switch f.State {
	case Taken:
		if t.Lapsed {
			return false
		}
		f.State = Running
		return true
	case Running:
		return !t.Lapsed
	}
	return false
}

// Finish tells that the core has given its one final answer; ran says that an attempt may
// have run. The returned message goes to On, if that is up.
func (f *Far) Finish(ran bool) Msg {
	switch f.State {
	case Running:
		if ran {
			f.State = Done
			return Ended
		}
		f.State = Barred // all that began was turned away by the servers
		return Never
	case Taken:
		f.State = Barred
		return Never
	}
	return None
}

// Fence answers a near end that has lost a connection. Of an unknown number whose lease is
// over it may have been told once and have forgotten; one that it has no room to remember
// it can't bar.
func (f *Far) Fence(on Conn, t Terms) (Msg, Act) {
	f.On = on
	switch f.State {
	case Unknown:
		if t.Lapsed || t.Full {
			return Unsure, Nothing
		}
		f.State = Barred
		return Never, Nothing
	case Taken:
		f.State = Barred
		return Never, Stop
	case Running:
		return Begun, Nothing
	case Done:
		return Ended, Nothing
	}
	return Never, Nothing
}

// Cancel is a fence that ends running work as well; Finish follows.
func (f *Far) Cancel(on Conn, t Terms) (Msg, Act) {
	m, act := f.Fence(on, t)
	if f.State == Running {
		return None, Stop
	}
	return m, act
}

// Lose tells that a connection is lost; last says that it was the near end's last one.
// Then nothing can be heard of it for a while, and what has not begun is better sent again
// by who can see to it.
func (f *Far) Lose(lost Conn, last bool) Act {
	if f.On == lost {
		f.On = 0
	}
	if last && f.State == Taken {
		f.State = Barred
		return Stop
	}
	return Nothing
}

// Lapse tells that the lease is over: what waits is barred, what runs is ended, and Finish
// follows.
func (f *Far) Lapse() (Msg, Act) {
	switch f.State {
	case Taken:
		f.State = Barred
		return Never, Stop
	case Running:
		return None, Stop
	}
	return None, Nothing
}

// Forget tells whether the crossing may be forgotten: it is over, and its lease as well, so
// that an offer which still lies in a link is turned away for its age. Where the offer has
// come and the near end has its verdict, which it acknowledges, nothing that could still come
// does any harm.
func (f *Far) Forget(lapsed, acked bool) bool {
	return (lapsed || acked && f.Offered) && (f.State == Done || f.State == Barred)
}
