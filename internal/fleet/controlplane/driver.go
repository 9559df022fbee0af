package controlplane

import (
	"context"
	"time"

	"go.uber.org/zap"

	"molepaddle/internal/fleet/replication"
)

const (
	// saveRetryMin and saveRetryMax bound the backoff of a write that the disk refuses, which doubles.
	saveRetryMin = 50 * time.Millisecond
	saveRetryMax = time.Second
)

// drive executes inputs one by one until ctx ends. What is to be on disk is there before anything is sent or
// answered: a vote or an acknowledgement that a crash could take back would break what others build on it.
func (s *Server) drive(ctx context.Context) {
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		var out replication.Output
		select {
		case <-ctx.Done():
			return
		case in := <-s.inputs:
			out = in(time.Since(s.start))
		case <-next.C:
			out = s.replica.Tick(time.Since(s.start))
		}
		if !s.processOutput(ctx, &out) {
			continue
		}
		// Only now is all published that was acknowledged before that contact, by whatever primary: who pulls takes the
		// age of the contact for that of the configuration (TestContactFollowsPublication).
		if began, ok := s.replica.LastBackupContact(); ok {
			s.contact.renew(s.replica.Status().Epoch, s.start.Add(began))
		}
		next.Reset(max(s.replica.NextTick()-time.Since(s.start), 0))
	}
}

// processOutput saves, sends, publishes and answers what the replica hands out, in this order. It returns false, and
// has done nothing, where ctx ended before all was saved.
func (s *Server) processOutput(ctx context.Context, out *replication.Output) bool {
	if !s.save(ctx, out.Write) {
		return false
	}
	for _, e := range out.Send {
		s.transport.send(e.To, e.Msg)
	}
	s.publishCommitted(out.Committed)
	for _, a := range out.Answer {
		if c := s.pendingAnswers[a.Token]; c != nil {
			delete(s.pendingAnswers, a.Token)
			c <- a
		}
	}
	if out.StatusChanged {
		s.publishStatus()
	}
	return true
}

// save blocks until a write is on the disk, or until ctx ends: then it returns false. While the disk refuses writes
// this machine neither hears nor says anything, and the others replace it.
func (s *Server) save(ctx context.Context, w *replication.Write) bool {
	for pause := saveRetryMin; !w.Empty(); {
		err := s.storage.Save(w)
		if err == nil {
			break
		}
		s.log.Error("the disk takes no write; tried again", zap.Error(err))
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pause):
		}
		pause = min(2*pause, saveRetryMax)
	}
	return true
}

// publishStatus publishes the replica's status and wakes who watches it.
func (s *Server) publishStatus() {
	st := s.replica.Status()
	was := s.status.Swap(&st)
	next := make(chan struct{})
	close(*s.changed.Swap(&next))
	if was.Epoch != st.Epoch {
		s.contact.enterEpoch(st.Epoch, time.Now())
		s.publishCoreMembers(&st)
	}
	if st.Role == replication.Primary && st.Ready && (was.Epoch != st.Epoch || !was.Ready) {
		s.quota.Lead(st.Epoch, s.state.quota)
	}
	if was.Epoch == st.Epoch && was.Role == st.Role && was.Ready == st.Ready {
		return
	}
	s.log.Info("view changed",
		zap.Uint64("epoch", st.Epoch),
		zap.Stringer("role", st.Role),
		zap.Bool("ready", st.Ready),
		zap.String("primary", st.PrimaryAddr),
		zap.Int("members", len(st.View.Members)),
		zap.Int("backups", len(st.View.Backups)))
}

// receive hands the driver a message of another core machine. It doesn't block: a message that finds the queue full is
// lost, as it may be on the network.
func (s *Server) receive(from string, m *replication.Message) {
	at := time.Now()
	s.recordContact(from, at)
	input := func(now time.Duration) replication.Output {
		out := s.replica.Step(now, from, m)
		st := s.replica.Status()
		if fromPrimary(m, &st) {
			s.contact.renew(st.Epoch, at)
		}
		return out
	}
	select {
	case s.inputs <- input:
	default:
	}
}

// fromPrimary reports whether the primary of the view that is known here sent a message as its primary.
func fromPrimary(m *replication.Message, st *replication.Status) bool {
	switch m.Kind {
	case replication.KindHeartbeat, replication.KindAppend, replication.KindSnapshot:
		return m.Epoch == st.Epoch && m.From.ID == st.View.Primary && m.From.ID != st.ID
	}
	return false
}

// peerDisconnected records that a core machine's connection to this one has ended: its process may be gone, so that no
// caller is redirected there before its next message.
func (s *Server) peerDisconnected(from string) {
	if s.status.Load().PrimaryAddr == from {
		s.contact.suspect()
	}
}

// submitAndWait has the driver execute an input with a token of its own, and waits until the replica answers that
// token or ctx ends, whose error it then returns: what became of the input is not known.
func (s *Server) submitAndWait(
	ctx context.Context, input func(now time.Duration, token uint64) replication.Output,
) (replication.Answer, error) {
	c := make(chan replication.Answer, 1)
	in := func(now time.Duration) replication.Output {
		s.lastToken++
		token := s.lastToken
		s.pendingAnswers[token] = c
		context.AfterFunc(ctx, func() { s.forgetAnswer(token) })
		return input(now, token)
	}
	select {
	case s.inputs <- in:
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

// forgetAnswer has the driver forget an answer that nobody waits for any more. It doesn't block: with a full queue the
// entry stays until the answer comes.
func (s *Server) forgetAnswer(token uint64) {
	forget := func(now time.Duration) replication.Output {
		delete(s.pendingAnswers, token)
		return s.replica.Tick(now)
	}
	select {
	case s.inputs <- forget:
	default:
	}
}

// confirmView asks the backups whether this machine's view still stands, and returns the answer.
func (s *Server) confirmView(ctx context.Context) (replication.Answer, error) {
	return s.submitAndWait(ctx, func(now time.Duration, token uint64) replication.Output {
		return s.replica.Read(now, token)
	})
}
