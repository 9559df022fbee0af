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
	// reportsPerLease is how often a holder renews its lease in the time of one.
	reportsPerLease = 4
	// giveBackInterval is how often it is looked for slots to be given back before that.
	giveBackInterval = 250 * time.Millisecond
	// answerTimeout bounds the dial and each answer; a later answer isn't used.
	answerTimeout = 500 * time.Millisecond
	// minRedial and maxRedial bound the pause before the allocator is dialled again.
	minRedial = 10 * time.Millisecond
	maxRedial = 200 * time.Millisecond
)

// Errors of Acquire.
var (
	// ErrOverQuota says that the tenant has used its quota.
	ErrOverQuota = errors.New("over the tenant's quota")
	// ErrNoAllocator says that it isn't known whether the tenant has used its quota.
	ErrNoAllocator = errors.New("no control server tells how much of the tenant's quota is left")
)

// Client is a Holder with its connection to the allocator. It is safe for use by many goroutines.
type Client struct {
	allocator func() string // address of the primary's Server; empty: not known
	dial      distribution.DialFunc
	start     time.Time // zero of the holder's clock

	mu       sync.Mutex // guards what follows
	holder   *Holder
	built    uint64        // reports so far
	fullAt   time.Duration // when the last full one was built
	answered uint64        // the newest of them that an allocator has answered
	progress chan struct{} // closed and replaced with each answer

	wake chan struct{} // holds a value while a request waits for a slot
}

// Slot is what Acquire has taken for a request.
type Slot struct {
	client  *Client // nil: the tenant has no quota
	tenant  string
	takenAt time.Duration
}

// NewClient returns a client that asks the allocator at the address that the function gives. Run has to be called.
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

// now is the holder's clock.
func (c *Client) now() time.Duration { return time.Since(c.start) }

// SetLimits puts the limits of a configuration in force. They must not be changed afterwards.
func (c *Client) SetLimits(limits Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder.SetLimits(limits, c.now())
}

// Acquire takes a slot of a tenant's quota for a request. Where none is free here it blocks until the allocator has
// answered, for wait at the most. The error is ErrOverQuota, ErrNoAllocator where none has answered, or that of ctx.
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

// take takes a slot that is free here; the lock is held.
func (c *Client) take(tenant string) (Slot, Verdict) {
	now := c.now()
	return Slot{client: c, tenant: tenant, takenAt: now}, c.holder.Acquire(tenant, now)
}

// awaitAnswer waits for the answer to a report that asks for a slot, for wait at the most. The lock is held, but not
// while it waits.
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

// Release gives the slot back, for a request that no backend has run or will run.
func (s Slot) Release() {
	if s.client == nil {
		return
	}
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	s.client.holder.Release(s.tenant, s.takenAt)
}

// Run reports to the allocator until ctx ends, and dials again with backoff.
func (c *Client) Run(ctx context.Context) {
	backoff := distribution.Backoff{Min: minRedial, Max: maxRedial}
	for ctx.Err() == nil {
		began := time.Now()
		if addr := c.allocator(); addr != "" && c.limited() {
			_ = c.follow(ctx, addr) // the next connection tells why, if it fails too
		}
		backoff.Wait(ctx, time.Since(began))
	}
}

// limited returns whether any tenant has a quota: otherwise there is nothing to report.
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
	_ = conn.SetDeadline(time.Now().Add(answerTimeout)) // an error shows at the read
	if err := distribution.ReadFrame(r, &greeting); err != nil {
		return err
	}
	if !c.beginReports(greeting.Epoch) {
		return errors.Errorf("%s is no allocator", addr)
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
			return errors.Errorf("%s is no longer the primary", addr)
		}
	}
}

// awaitDue waits until a report is due: for a request that waits, or a full one. It returns an error once ctx ends.
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

// fullReportDue returns whether slots are to be given back or the lease is to be renewed.
func (c *Client) fullReportDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	return now-c.fullAt >= c.holder.rule.Lease/reportsPerLease || c.holder.HasSurplus(now)
}

// beginReports notes the allocator's epoch.
func (c *Client) beginReports(epoch uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.BeginReports(epoch)
}

// report sends one report and takes its answer.
func (c *Client) report(conn net.Conn, r *bufio.Reader, full bool) error {
	sentAt, report, number := c.buildReport(full)
	_ = conn.SetDeadline(time.Now().Add(answerTimeout)) // an error shows at the write
	if err := distribution.WriteFrame(conn, report); err != nil {
		return err
	}
	var answer Answer
	if err := distribution.ReadFrame(r, &answer); err != nil {
		return err
	}
	if answer.Epoch != report.Epoch || answer.Sequence != report.Sequence {
		return errors.New("the allocator has changed")
	}
	return c.apply(&answer, sentAt, number)
}

// buildReport returns the next report, and when it was built.
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

// apply takes an answer, and wakes who waits for it. One that comes too late is not used: this process was frozen, and
// the allocator may be another one by now.
func (c *Client) apply(answer *Answer, sentAt time.Duration, number uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if now-sentAt > answerTimeout {
		return errors.New("the answer came late")
	}
	c.holder.Apply(answer, sentAt, now)
	c.answered = number
	close(c.progress)
	c.progress = make(chan struct{})
	return nil
}
