package distribution

import (
	"bufio"
	"context"
	"net"
	"time"

	"molepaddle/internal/fleet/residencyreport"
)

const (
	// minDialTimeout is the least time that a dial has: round trips between regions are some tens of milliseconds.
	minDialTimeout = 100 * time.Millisecond
	// minReadTimeout is the least that PullTimeouts gives a response beyond its wait, however short apply is.
	minReadTimeout = 200 * time.Millisecond
)

// PullTimeouts returns how long a request may wait at its server, and how much longer its response may take, such
// that a change is in force everywhere within apply although one server on its way was lost. Lost with a server are
// one wait, one read time-out, and as much for the next server.
func PullTimeouts(apply, heartbeat time.Duration) (wait, readTimeout time.Duration) {
	return min(heartbeat, apply/5), max(apply/4, minReadTimeout)
}

// Watcher is a client that pulls from a server. Its functions are called from the goroutine that calls Watch.
type Watcher struct {
	// Name is the sender's name in requests.
	Name string
	// MaxWait is how long a request may wait at the server for an update.
	MaxWait time.Duration
	// NextWait returns how long the next request may wait, in place of MaxWait; nil: MaxWait.
	NextWait func() time.Duration
	// ReadTimeout is how much longer than the wait a response may bring nothing.
	ReadTimeout time.Duration
	// Members returns those whose leases the next request renews.
	Members func() []Member
	// Versions returns what the client has, by resource type, as a map that Watch may change.
	Versions func() map[string]Version
	// Apply takes a response over. It returns the resource types that are to be sent as snapshots next.
	Apply func(response *Response) (lacking []string)
	// Continue is asked before each request; false ends the watch. nil: it goes on as long as the connection lasts.
	Continue func() bool
	// Residency returns the residency reports that the next request takes along; nil: there never are any.
	Residency func(now time.Time) *ResidencyOutbox
	// Final ends the watch after one request, which announces to the server that the process is shutting down.
	Final bool
	// Dial opens the connections; nil: the function Dial.
	Dial DialFunc
	// Outcomes are pushed to the server as they come, over a connection of their own; nil: there never are any.
	Outcomes *OutcomeQueue
	// MembersChanged gives a value when the leases of PushMembers are to be renewed at once, by such a push; nil: it
	// never does.
	MembersChanged <-chan struct{}
	// PushMembers returns those whose leases such a push renews. It is called from a goroutine of its own.
	PushMembers func() []Member

	receivedAt time.Time // of the newest response
}

// ReceivedAt returns when the response was received that Apply is called with, to be called by Apply. The ages in the
// response are as of then: a process that is frozen before it reads the clock itself would take them for younger.
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

// wantsRequest returns whether a further request is due after so many.
func (w *Watcher) wantsRequest(sent int) bool {
	if w.Final && sent > 0 {
		return false
	}
	return w.Continue == nil || w.Continue()
}

// Watch pulls from the server at an address. It blocks until the connection breaks, which is an error, ctx ends,
// which is one too, or the watcher ends by Continue or Final, which is none.
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
				<-pushed // the process ends; otherwise the next server must not wait for a dial
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

	lacking   []string // resource types to be sent as snapshots with the next response
	residency residencyreport.Sender
}

// pull sends one request and takes its response over.
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

// attachResidency adds residency reports to a request, and returns the outbox they come from; nil: there never are any.
func (s *watchSession) attachResidency(request *Request) *ResidencyOutbox {
	if s.watcher.Residency == nil {
		return nil
	}
	now := time.Now()
	outbox := s.watcher.Residency(now)
	request.Residency = outbox.nextBatches(&s.residency, now)
	return outbox
}

// addTransitTime adds to the age of the last contact the time from the request to its response, but for the wait at the
// server. That counts the request's way and a freeze of either side too: a process that reads an old response late
// must not take it for a new one.
func (r *Response) addTransitTime(took time.Duration) {
	if r.LastContactMs >= 0 {
		r.LastContactMs += max(roundUpMs(took)-r.WaitedMs, 0)
	}
}
