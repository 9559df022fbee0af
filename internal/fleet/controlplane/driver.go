package controlplane

import (
	"context"
	"time"

	"go.uber.org/zap"

	"molepaddle/internal/fleet/replication"
)

// drive handles inputs one by one: what is to be on disk is there before anything is sent or answered.
func (o *Server) drive(ctx context.Context) {
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		var out replication.Output
		select {
		case <-ctx.Done():
			return
		case in := <-o.inputs:
			out = in(time.Since(o.start))
		case <-next.C:
			out = o.machine.Tick(time.Since(o.start))
		}
		if began, ok := o.machine.LastQuorumContact(); ok {
			o.contact.renew(o.machine.Status().Epoch, o.start.Add(began))
		}
		o.carryOut(ctx, &out)
		next.Reset(max(o.machine.NextTick()-time.Since(o.start), 0))
	}
}

func (o *Server) carryOut(ctx context.Context, out *replication.Output) {
	for pause := 50 * time.Millisecond; !out.Write.Empty(); {
		err := o.archive.Save(out.Write)
		if err == nil {
			break
		}
		o.log.Error("the disk takes no write; tried again", zap.Error(err))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = min(2*pause, time.Second)
	}
	for _, e := range out.Send {
		o.peers.send(e.To, e.Msg)
	}
	o.settle(out.Committed)
	for _, a := range out.Answer {
		if c := o.waiting[a.Token]; c != nil {
			delete(o.waiting, a.Token)
			c <- a
		}
	}
	if out.StatusChanged {
		st := o.machine.Status()
		was := o.status.Swap(&st)
		next := make(chan struct{})
		close(*o.changed.Swap(&next))
		if was.Epoch != st.Epoch {
			o.contact.adopt(st.Epoch, time.Now())
			o.publishCore(&st)
		}
		if was.Epoch != st.Epoch || was.Role != st.Role || was.Ready != st.Ready {
			o.log.Info("view", zap.Uint64("epoch", st.Epoch), zap.Stringer("role", st.Role), zap.Bool("ready", st.Ready), zap.String("primary", st.PrimaryAddr),
				zap.Int("members", len(st.View.Members)), zap.Int("backups", len(st.View.Backups)))
		}
	}
}

// receive hands the driver a message of another core machine.
func (o *Server) receive(from string, m *replication.Message) {
	at := time.Now()
	o.hears(from, at)
	input := func(now time.Duration) replication.Output {
		out := o.machine.Step(now, from, m)
		st := o.machine.Status()
		if fromPrimary(m, &st) {
			o.contact.renew(st.Epoch, at)
		}
		return out
	}
	select {
	case o.inputs <- input:
	default: // messages may be lost
	}
}

// fromPrimary reports whether a message is the word of the primary of the view that is known here, as its primary.
func fromPrimary(m *replication.Message, st *replication.Status) bool {
	switch m.Kind {
	case replication.KindHeartbeat, replication.KindAppend, replication.KindSnapshot:
		return m.Epoch == st.Epoch && m.From.ID == st.View.Primary && m.From.ID != st.ID
	}
	return false
}

// connectionEnded notes that a core machine's connection to this one has ended: its process may be gone, so that no caller is
// sent there before it is heard again.
func (o *Server) connectionEnded(from string) {
	if o.status.Load().PrimaryAddr == from {
		o.contact.doubt()
	}
}

// ask hands the machine an input with a token and waits for its answer.
func (o *Server) ask(ctx context.Context, do func(now time.Duration, token uint64) replication.Output) (replication.Answer, error) {
	c := make(chan replication.Answer, 1)
	in := func(now time.Duration) replication.Output {
		o.token++
		token := o.token
		o.waiting[token] = c
		context.AfterFunc(ctx, func() {
			select {
			case o.inputs <- func(now time.Duration) replication.Output { delete(o.waiting, token); return o.machine.Tick(now) }:
			default:
			}
		})
		return do(now, token)
	}
	select {
	case o.inputs <- in:
	case <-ctx.Done():
		return replication.Answer{}, ctx.Err()
	}
	select {
	case a := <-c:
		return a, nil
	case <-ctx.Done():
		return replication.Answer{}, ctx.Err()
	}
}
