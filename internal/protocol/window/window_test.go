package window

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// All bytes arrive in order, whatever the sizes of writes and reads, and the pipe's buffer ends no larger than Size.
func TestAllComesThrough(t *testing.T) {
	for seed := range uint64(40) {
		budget := NewBudget([]int64{0, 1 << 20}[seed%2])
		p, rng := New(budget), rand.New(rand.NewPCG(seed, 3))
		if want := []int64{Least, Size}[seed%2]; budget.Used() != want {
			t.Fatalf("%d held of the budget, want %d", budget.Used(), want)
		}
		const total = 300_000
		go func() {
			r := rand.New(rand.NewPCG(seed, 4))
			for n := 0; n < total; {
				part := make([]byte, min(1+r.IntN(50_000)>>r.IntN(12), total-n))
				for i := range part {
					part[i] = byte((n + i) % 251)
				}
				n += len(part)
				if err := p.Write(context.Background(), part); err != nil {
					t.Error(err)
				}
			}
			p.End(nil)
		}()
		got, buf := 0, make([]byte, 40_000)
		for {
			n, err := p.Read(context.Background(), buf[:1+rng.IntN(len(buf))])
			for i := range n {
				if buf[i] != byte((got+i)%251) {
					t.Fatalf("seed %d: byte %d is another", seed, got+i)
				}
			}
			got += n
			if err == io.EOF {
				break
			} else if err != nil {
				t.Fatal(err)
			}
		}
		if got != total || len(p.buf) > Size {
			t.Fatalf("seed %d: %d bytes came, %d held", seed, got, len(p.buf))
		}
		p.Leave()
		p.Leave()
		if budget.Used() != 0 {
			t.Fatalf("%d of the budget are gone", budget.Used())
		}
	}
}

// A blocked reader or writer is woken by the other end leaving, an error, or the context.
func TestEnds(t *testing.T) {
	broke := errors.New("broke")
	full := make([]byte, Size)
	for name, c := range map[string]struct {
		do   func(p *Pipe, cancel func(error))
		read bool
		want error
	}{
		"the reader leaves":            {func(p *Pipe, _ func(error)) { p.Leave() }, false, ErrLeft},
		"a writer's context ends":      {func(_ *Pipe, cancel func(error)) { cancel(broke) }, false, broke},
		"the writer's source breaks":   {func(p *Pipe, _ func(error)) { p.End(broke); p.End(nil) }, true, broke},
		"a reader's context ends":      {func(_ *Pipe, cancel func(error)) { cancel(broke) }, true, broke},
		"all has come before the read": {func(p *Pipe, _ func(error)) { p.End(nil) }, true, io.EOF},
	} {
		p := New(NewBudget(1 << 20))
		ctx, cancel := context.WithCancelCause(context.Background())
		var got error
		var wg sync.WaitGroup
		wg.Add(1)
		go func() {
			defer wg.Done()
			if c.read {
				_, got = p.Read(ctx, make([]byte, 10))
			} else if got = p.Write(ctx, full); got == nil {
				got = p.Write(ctx, full)
			}
		}()
		c.do(p, cancel)
		if wg.Wait(); !errors.Is(got, c.want) {
			t.Errorf("%s: %v", name, got)
		}
		cancel(nil)
		if p.Taken() {
			t.Errorf("%s: taken", name)
		}
	}
}

// Pipes of full size leave a quarter of the budget to short bodies, and every pipe gets at least Least bytes.
func TestBudget(t *testing.T) {
	b := NewBudget(16 * Size)
	var pipes []*Pipe
	for range 100 {
		pipes = append(pipes, New(b))
	}
	large := 0
	for _, p := range pipes {
		if p.room == Size {
			large++
		} else if p.room != Least {
			t.Fatal(p.room)
		}
	}
	if large != 12 {
		t.Errorf("%d pipes of the full size, want 12", large)
	}
	for _, p := range pipes[:94] {
		p.Leave()
	}
	if !b.Take(Short) {
		t.Error("no room for a short one")
	}
	b.SetLimit(Size)
	if b.Take(1) {
		t.Error("room in a budget that has become smaller")
	}
}

func TestPace(t *testing.T) {
	p, began := Pace{Grace: 1500 * time.Millisecond, Pause: 2 * time.Second, Rate: 32 << 10}, time.Unix(1000, 0)
	for _, c := range []struct {
		last time.Duration
		came int64
		want time.Duration
	}{
		{0, 0, 1500 * time.Millisecond},                             // sends nothing
		{time.Second, 10, 1500 * time.Millisecond},                  // ten bytes, then a pause
		{time.Second, 64 << 10, 3 * time.Second},                    // stops after a good start
		{10 * time.Second, 640 << 10, 12 * time.Second},             // at twice the least rate
		{10 * time.Second, 320 << 10, 11500 * time.Millisecond},     // at the least rate
		{30 * time.Second, 28 * 32 << 10, 29500 * time.Millisecond}, // below it
	} {
		if got := p.Until(began, began.Add(c.last), c.came).Sub(began); got.Round(10*time.Millisecond) != c.want {
			t.Errorf("%d bytes, the last after %v: until %v, want %v", c.came, c.last, got, c.want)
		}
	}
	if got := p.Longest(Most); got < 17*time.Minute || got > 18*time.Minute {
		t.Error(got)
	}
	for _, c := range []struct {
		length int64
		held   int
		since  time.Duration
		want   bool
	}{
		{Short, 0, time.Hour, true}, {Short + 1, 0, 0, false}, {0, 0, 0, true},
		{-1, Short, 0, true}, {-1, Short + 1, 0, false}, {-1, 10, HoldFor, false}, {-1, 10, HoldFor - 1, true},
	} {
		if got := Hold(c.length, c.held, c.since); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
