package quota

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/distribution"
)

const (
	// reportsPerLease is how many times per lease duration a holder renews its lease.
	reportsPerLease = 4
	// giveBackInterval is the interval of the checks for slots to be returned before the next renewal.
	giveBackInterval = 250 * time.Millisecond
	// answerTimeout is the time-out of the dial and of each answer; a later answer is discarded.
	answerTimeout = 500 * time.Millisecond
	// minRedial and maxRedial are the bounds of the backoff before the allocator is dialled again.
	minRedial = 10 * time.Millisecond
	maxRedial = 200 * time.Millisecond
)

// Errors returned by Client.Acquire.
var (
	// ErrOverQuota means that the tenant has used up its quota.
	ErrOverQuota = errors.New("over the tenant's quota")
	// ErrNoAllocator means that no allocator has answered, so that it is unknown whether the tenant has quota left.
	ErrNoAllocator = errors.New("no control server tells how much of the tenant's quota is left")
)

// Client is a Holder together with its connection to the allocator. It is safe for concurrent use.
type Client struct {
	allocator func() string // returns the address of the primary's Server; empty: unknown
	dial      distribution.DialFunc
	start     time.Time // time 0 of the holder's clock

	mu       sync.Mutex // guards the fields up to progress
	holder   *Holder
	built    uint64        // number of reports built
	fullAt   time.Duration // when the last full report was built
	answered uint64        // number of the newest report that an allocator has answered
	progress chan struct{} // closed and replaced with each answer

	wake chan struct{} // signalled when a request starts to wait for a slot
}

// Slot is a slot that Client.Acquire has taken for a request.
type Slot struct {
	client  *Client // nil: the tenant has no quota
	tenant  string
	takenAt time.Duration
}

// NewClient returns a client that reports to the allocator at the address that allocator returns. The caller must call
// Run.
func NewClient(holder *Holder, allocator func() string, dial distribution.DialFunc) *Client {
	return &Client{
		allocator: allocator,
		dial:      dial,
		start:     time.Now(),
		holder:    holder,
		progress:  make(chan struct{}),
		wake:      make(chan struct{}, 1),
	}
}

// now returns the time on the holder's clock.
func (c *Client) now() time.Duration { return time.Since(c.start) }

// SetLimits applies the limits of a configuration. The caller must not modify them afterwards.
func (c *Client) SetLimits(limits Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder.SetLimits(limits, c.now())
}

// Acquire takes a slot of a tenant's quota for a request. If this holder has no free slot, it blocks until the
// allocator has answered, for at most wait. The error is ErrOverQuota, ErrNoAllocator if no allocator has answered, or
// ctx.Err().
func (c *Client) Acquire(ctx context.Context, tenant string, wait time.Duration) (Slot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.holder.Limited(tenant) {
		return Slot{}, nil
	}
	slot, verdict := c.take(tenant)
	if verdict == NeedsSlots || verdict == LeaseLapsed {
		if err := c.awaitAnswer(ctx, tenant, wait); err != nil {
			return Slot{}, err
		}
		slot, verdict = c.take(tenant)
	}
	switch verdict {
	case Admitted:
		return slot, nil
	case LeaseLapsed:
		return Slot{}, ErrNoAllocator
	}
	return Slot{}, ErrOverQuota
}

// take tries to take one of the holder's free slots. The caller must hold c.mu.
func (c *Client) take(tenant string) (Slot, Verdict) {
	now := c.now()
	return Slot{client: c, tenant: tenant, takenAt: now}, c.holder.Acquire(tenant, now)
}

// awaitAnswer waits for the answer to a report that requests a slot, for at most wait. The caller must hold c.mu, which
// is released during the wait.
func (c *Client) awaitAnswer(ctx context.Context, tenant string, wait time.Duration) error {
	c.holder.AddWaiting(tenant, 1)
	defer c.holder.AddWaiting(tenant, -1)
	select {
	case c.wake <- struct{}{}:
	default:
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for asked := c.built + 1; c.answered < asked; {
		progress := c.progress
		c.mu.Unlock()
		var timedOut bool
		select {
		case <-progress:
		case <-timeout.C:
			timedOut = true
		case <-ctx.Done():
		}
		c.mu.Lock()
		if err := ctx.Err(); err != nil {
			return err
		}
		if timedOut {
			return ErrNoAllocator
		}
	}
	return nil
}

// Release returns the slot of a request that no backend has run or will run.
func (s Slot) Release() {
	if s.client == nil {
		return
	}
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	s.client.holder.Release(s.tenant, s.takenAt)
}

// Run reports to the allocator until ctx ends, and redials with backoff.
func (c *Client) Run(ctx context.Context) {
	backoff := distribution.Backoff{Min: minRedial, Max: maxRedial}
	for ctx.Err() == nil {
		began := time.Now()
		if addr := c.allocator(); addr != "" && c.limited() {
			_ = c.follow(ctx, addr) // any error is answered by a new connection
		}
		backoff.Wait(ctx, time.Since(began))
	}
}

// limited reports whether any tenant has a quota; otherwise there is nothing to report.
func (c *Client) limited() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.holder.limits) > 0
}

// follow reports to the allocator at an address until the connection breaks, another server becomes the allocator, or
// ctx ends.
func (c *Client) follow(ctx context.Context, addr string) error {
	conn, err := c.dial(addr, answerTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	r := bufio.NewReader(conn)
	var greeting Answer
	_ = conn.SetDeadline(time.Now().Add(answerTimeout)) // on failure the read below returns the error
	if err := distribution.ReadFrame(r, &greeting); err != nil {
		return err
	}
	if !c.beginReports(greeting.Epoch) {
		return errors.Errorf("control server %s is not an allocator, or one of an earlier epoch", addr)
	}
	for full := true; ; {
		if err := c.report(conn, r, full); err != nil {
			return err
		}
		var err error
		if full, err = c.awaitDue(ctx); err != nil {
			return err
		}
		if c.allocator() != addr {
			return errors.Errorf("control server %s is no longer the primary", addr)
		}
	}
}

// awaitDue waits until a report is due: a partial one for waiting requests, or a full one. It returns an error once ctx
// ends.
func (c *Client) awaitDue(ctx context.Context) (full bool, err error) {
	tick := time.NewTicker(giveBackInterval)
	defer tick.Stop()
	for {
		select {
		case <-c.wake:
			return false, nil
		case <-tick.C:
			if c.fullReportDue() {
				return true, nil
			}
		case <-ctx.Done():
			return false, ctx.Err()
		}
	}
}

// fullReportDue reports whether slots are to be returned or the lease is to be renewed.
func (c *Client) fullReportDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	return now-c.fullAt >= c.holder.rule.Lease/reportsPerLease || c.holder.HasSurplus(now)
}

// beginReports records the epoch of the allocator. It returns false if a later one has been reported to already.
func (c *Client) beginReports(epoch uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.BeginReports(epoch)
}

// report sends one report, and reads and applies its answer.
func (c *Client) report(conn net.Conn, r *bufio.Reader, full bool) error {
	sentAt, report, number := c.buildReport(full)
	_ = conn.SetDeadline(time.Now().Add(answerTimeout)) // on failure the write below returns the error
	if err := distribution.WriteFrame(conn, report); err != nil {
		return err
	}
	var answer Answer
	if err := distribution.ReadFrame(r, &answer); err != nil {
		return err
	}
	if answer.Epoch != report.Epoch || answer.Sequence != report.Sequence {
		return errors.New("quota answer does not match the report's epoch and sequence")
	}
	return c.apply(&answer, sentAt, number)
}

// buildReport returns the next report, when it was built, and its number on this client.
func (c *Client) buildReport(full bool) (builtAt time.Duration, report *Report, number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	builtAt = c.now()
	c.built++
	if full {
		c.fullAt = builtAt
	}
	return builtAt, c.holder.NextReport(builtAt, full), c.built
}

// apply applies an answer and wakes the requests that wait for it. A late answer is discarded: this process was frozen,
// and the allocator may have been replaced in the meantime.
func (c *Client) apply(answer *Answer, sentAt time.Duration, number uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if now-sentAt > answerTimeout {
		return errors.New("quota answer received after the answer time-out")
	}
	c.holder.Apply(answer, sentAt, now)
	c.answered = number
	close(c.progress)
	c.progress = make(chan struct{})
	return nil
}
