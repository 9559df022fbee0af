package distribution

import (
	"bufio"
	"context"
	"net"
	"time"

	"molepaddle/internal/fleet/residencyreport"
)

const (
	// minDialTimeout is the least dial time-out: round trips between regions are some tens of milliseconds.
	minDialTimeout = 100 * time.Millisecond
	// minReadTimeout is the least read time-out that PullTimeouts returns, however short apply is.
	minReadTimeout = 200 * time.Millisecond
)

// PullTimeouts returns how long a request may wait at its server, and how much longer its response may take, such that
// a change is in force everywhere within apply even if one server on its path is lost. The loss of a server costs one
// wait, one read time-out, and as much for the next server.
func PullTimeouts(apply, heartbeat time.Duration) (wait, readTimeout time.Duration) {
	return min(heartbeat, apply/5), max(apply/4, minReadTimeout)
}

// Watcher is a client that pulls from a server. Its functions are called from the goroutine that calls Watch.
type Watcher struct {
	// Name is the sender's name in requests.
	Name string
	// MaxWait is how long a request may wait at the server for an update, to the millisecond.
	MaxWait time.Duration
	// NextWait returns how long the next request may wait, instead of MaxWait; nil: MaxWait.
	NextWait func() time.Duration
	// ReadTimeout bounds the time beyond the wait in which no byte of a response arrives.
	ReadTimeout time.Duration
	// Members returns the members whose leases the next request renews.
	Members func() []Member
	// Versions returns the client's versions by resource type, as a map that Watch may change.
	Versions func() map[string]Version
	// Apply applies a response. It returns the resource types for which the next request asks for a snapshot.
	Apply func(response *Response) (lacking []string)
	// Continue is called before each request; false ends the watch. nil: the watch lasts as long as the connection.
	Continue func() bool
	// Residency returns the outbox whose residency reports the next request carries; nil: there are never any.
	Residency func(now time.Time) *ResidencyOutbox
	// Final ends the watch after one request, which tells the server that the process is shutting down.
	Final bool
	// Dial opens the connections; nil: the function Dial.
	Dial DialFunc
	// Outcomes are pushed to the server as they arrive, over a separate connection; nil: there are never any.
	Outcomes *OutcomeQueue
	// MembersChanged receives a value when the leases of PushMembers must be renewed at once, by a push over the same
	// connection as Outcomes; nil: never.
	MembersChanged <-chan struct{}
	// PushMembers returns the members whose leases such a push renews. It is called from a separate goroutine.
	PushMembers func() []Member

	receivedAt time.Time // when the newest response was received
}

// ReceivedAt returns the time at which Apply's response was received; only Apply may call it. The ages in the response
// are as of that time: if the process were frozen before Apply read the clock, they would be computed as too young.
func (w *Watcher) ReceivedAt() time.Time { return w.receivedAt }

// dial connects to the server.
func (w *Watcher) dial(addr string) (net.Conn, error) {
	dial := w.Dial
	if dial == nil {
		dial = Dial
	}
	return dial(addr, max(w.ReadTimeout/3, minDialTimeout))
}

// nextWait returns how long the next request may wait for an update.
func (w *Watcher) nextWait() time.Duration {
	if w.NextWait == nil {
		return w.MaxWait
	}
	return w.NextWait()
}

// wantsRequest reports whether another request is to be sent after the given number.
func (w *Watcher) wantsRequest(sent int) bool {
	if w.Final && sent > 0 {
		return false
	}
	return w.Continue == nil || w.Continue()
}

// Watch pulls from the server at addr. It blocks until the connection breaks or ctx ends, and returns an error then, or
// until Continue or Final ends the watch, and returns nil then.
func Watch(ctx context.Context, addr string, w *Watcher) error {
	conn, err := w.dial(addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if w.Outcomes != nil && !w.Final {
		pushing, end := context.WithCancel(ctx)
		pushed := make(chan struct{})
		go func() {
			defer close(pushed)
			w.pushOutcomes(pushing, addr)
		}()
		defer func() {
			end()
			if ctx.Err() != nil {
				<-pushed // wait only at the process's end: the next server must not wait for a dial
			}
		}()
	}
	s := &watchSession{
		watcher: w,
		conn:    conn,
		r:       bufio.NewReader(&progressReader{Conn: conn, timeout: w.ReadTimeout}),
	}
	for sent := 0; w.wantsRequest(sent); sent++ {
		if err := s.pull(); err != nil {
			return err
		}
	}
	return nil
}

// watchSession is one connection of a Watcher.
type watchSession struct {
	watcher *Watcher
	conn    net.Conn
	r       *bufio.Reader

	lacking   []string // resource types for which the next request asks for a snapshot
	residency residencyreport.Sender
}

// pull sends one request and applies its response.
func (s *watchSession) pull() error {
	w := s.watcher
	wait, sent := w.nextWait(), time.Now()
	request := Request{
		From:     w.Name,
		WaitMs:   wait.Milliseconds(),
		Versions: w.Versions(),
		Members:  w.Members(),
		Final:    w.Final,
	}
	for _, resourceType := range s.lacking {
		delete(request.Versions, resourceType)
	}
	outbox := s.attachResidency(&request)
	_ = s.conn.SetDeadline(sent.Add(wait + w.ReadTimeout)) // an error shows at the write
	if err := WriteFrame(s.conn, &request); err != nil {
		return err
	}
	var response Response
	if err := ReadFrame(s.r, &response); err != nil {
		return err
	}
	w.receivedAt = time.Now()
	response.addTransitTime(w.receivedAt.Sub(sent))
	if outbox != nil && response.ResidencyAcks != nil {
		outbox.Acknowledge(response.ResidencyAcks...)
	}
	s.lacking = w.Apply(&response)
	return nil
}

// attachResidency adds residency reports to a request, and returns their outbox; nil if the watcher has none.
func (s *watchSession) attachResidency(request *Request) *ResidencyOutbox {
	if s.watcher.Residency == nil {
		return nil
	}
	now := time.Now()
	outbox := s.watcher.Residency(now)
	request.Residency = outbox.nextBatches(&s.residency, now)
	return outbox
}

// addTransitTime adds the time from the request to its response, less the wait at the server, to the age of the last
// contact. The time includes the request's transit and a freeze of either side: a process that reads an old response
// late must not treat it as a new one.
func (r *Response) addTransitTime(took time.Duration) {
	if r.LastContactMs >= 0 {
		r.LastContactMs += max(roundUpMs(took)-r.WaitedMs, 0)
	}
}
