package controlplane

import (
	"context"
	"time"

	"go.uber.org/zap"

	"molepaddle/internal/fleet/replication"
)

const (
	// saveRetryMin and saveRetryMax bound the exponential backoff after a failed write to the disk.
	saveRetryMin = 50 * time.Millisecond
	saveRetryMax = time.Second
)

// drive executes inputs one by one until ctx ends. State is synced to the disk before anything that depends on it is
// sent or answered: a vote or an acknowledgement lost in a crash would break the guarantees given to other members.
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
		// Renewed only after everything acknowledged before that contact, by any primary, is published: pulling clients
		// take the age of the contact for that of the configuration (TestContactFollowsPublication).
		if began, ok := s.replica.LastBackupContact(); ok {
			s.contact.renew(s.replica.Status().Epoch, s.start.Add(began))
		}
		next.Reset(max(s.replica.NextTick()-time.Since(s.start), 0))
	}
}

// processOutput saves, sends, publishes and answers the replica's output, in this order. It returns false, without
// sending or answering anything, if ctx ends before the write is saved.
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

// save blocks until a write is on the disk and returns true, or returns false when ctx ends. While the disk rejects
// writes this machine processes no inputs and sends no messages, so the other members replace it.
func (s *Server) save(ctx context.Context, w *replication.Write) bool {
	for pause := saveRetryMin; !w.Empty(); {
		err := s.storage.Save(w)
		if err == nil {
			break
		}
		s.log.Error("state store write failed, retrying", zap.Error(err))
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pause):
		}
		pause = min(2*pause, saveRetryMax)
	}
	return true
}

// publishStatus publishes the replica's status and wakes the goroutines that wait for a change of it.
func (s *Server) publishStatus() {
	st := s.replica.Status()
	previous := s.status.Swap(&st)
	next := make(chan struct{})
	close(*s.changed.Swap(&next))
	if previous.Epoch != st.Epoch {
		s.contact.enterEpoch(st.Epoch, time.Now())
		s.publishCoreMembers(&st)
	}
	if st.Role == replication.Primary && st.Ready && (previous.Epoch != st.Epoch || !previous.Ready) {
		s.quota.Lead(st.Epoch, s.state.quota)
	}
	if previous.Epoch == st.Epoch && previous.Role == st.Role && previous.Ready == st.Ready {
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

// receive passes a message of another core machine to the driver. It doesn't block: if the input queue is full the
// message is dropped, as it could be on the network.
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

// fromPrimary reports whether a message was sent by the primary of the current view in that role.
func fromPrimary(m *replication.Message, st *replication.Status) bool {
	switch m.Kind {
	case replication.KindHeartbeat, replication.KindAppend, replication.KindSnapshot:
		return m.Epoch == st.Epoch && m.From.ID == st.View.Primary && m.From.ID != st.ID
	}
	return false
}

// peerDisconnected records that a core machine's connection to this one has ended. Its process may have exited, so no
// caller is redirected to it before its next message.
func (s *Server) peerDisconnected(from string) {
	if s.status.Load().PrimaryAddr == from {
		s.contact.suspect()
	}
}

// submitAndWait has the driver execute an input with a new token, and waits for the replica's answer to that token. If
// ctx ends first it returns ctx's error, and the outcome of the input is unknown.
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

// forgetAnswer has the driver drop a pending answer whose caller has left. It doesn't block: if the input queue is full
// the entry stays until the answer arrives.
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

// confirmView asks the backups to confirm that this machine's view is current, and returns the answer.
func (s *Server) confirmView(ctx context.Context) (replication.Answer, error) {
	return s.submitAndWait(ctx, func(now time.Duration, token uint64) replication.Output {
		return s.replica.Read(now, token)
	})
}
