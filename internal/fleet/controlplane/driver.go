package controlplane

import (
	"context"
	"time"

	"go.uber.org/zap"

	"molepaddle/internal/fleet/replication"
)

// drive handles inputs one by one: what is to be on disk is there before anything is sent or answered.
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
		if began, ok := s.replica.LastQuorumContact(); ok {
			s.contact.renew(s.replica.Status().Epoch, s.start.Add(began))
		}
		s.processOutput(ctx, &out)
		next.Reset(max(s.replica.NextTick()-time.Since(s.start), 0))
	}
}

func (s *Server) processOutput(ctx context.Context, out *replication.Output) {
	for pause := 50 * time.Millisecond; !out.Write.Empty(); {
		err := s.storage.Save(out.Write)
		if err == nil {
			break
		}
		s.log.Error("the disk takes no write; tried again", zap.Error(err))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = min(2*pause, time.Second)
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
		st := s.replica.Status()
		was := s.status.Swap(&st)
		next := make(chan struct{})
		close(*s.changed.Swap(&next))
		if was.Epoch != st.Epoch {
			s.contact.enterEpoch(st.Epoch, time.Now())
			s.publishCoreMembers(&st)
		}
		if was.Epoch != st.Epoch || was.Role != st.Role || was.Ready != st.Ready {
			s.log.Info("view", zap.Uint64("epoch", st.Epoch), zap.Stringer("role", st.Role), zap.Bool("ready", st.Ready), zap.String("primary", st.PrimaryAddr),
				zap.Int("members", len(st.View.Members)), zap.Int("backups", len(st.View.Backups)))
		}
	}
}

// receive hands the driver a message of another core machine.
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

// peerDisconnected notes that a core machine's connection to this one has ended: its process may be gone, so that no caller is
// sent there before it is heard again.
func (s *Server) peerDisconnected(from string) {
	if s.status.Load().PrimaryAddr == from {
		s.contact.suspect()
	}
}

// pollPlatform hands the machine an input with a token and waits for its answer.
func (s *Server) submitAndWait(ctx context.Context, do func(now time.Duration, token uint64) replication.Output) (replication.Answer, error) {
	c := make(chan replication.Answer, 1)
	in := func(now time.Duration) replication.Output {
		s.lastToken++
		token := s.lastToken
		s.pendingAnswers[token] = c
		context.AfterFunc(ctx, func() {
			select {
			case s.inputs <- func(now time.Duration) replication.Output {
				delete(s.pendingAnswers, token)
				return s.replica.Tick(now)
			}:
			default:
			}
		})
		return do(now, token)
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
