package controlplane

import (
	"context"
	"time"

	"go.uber.org/zap"

	"molepaddle/internal/fleet/quota"
	"molepaddle/internal/fleet/replication"
	"molepaddle/internal/fleet/residencyreport"
)

const (
	// ceilingsInterval is the minimum time between two writes of the quota ceilings, and the interval at which the need
	// for one is checked.
	ceilingsInterval = 100 * time.Millisecond
	// ceilingsWriteTimeout bounds the wait for such a write to be committed.
	ceilingsWriteTimeout = time.Second
)

// commitQuotaCeilings commits the ceilings that the quota allocator needs, while this machine is the primary, until ctx
// ends.
func (s *Server) commitQuotaCeilings(ctx context.Context) {
	for ctx.Err() == nil {
		st, changed := s.watch()
		if st.Role != replication.Primary || !st.Ready {
			waitFor(ctx, changed)
			continue
		}
		if wanted, ok := s.quota.WantedCeilings(st.Epoch); ok {
			s.commitCeilings(ctx, wanted)
		}
		sleep(ctx, ceilingsInterval)
	}
}

// commitCeilings proposes ceilings and blocks until they are committed, for ceilingsWriteTimeout at most; they take
// effect only once committed. A write that isn't committed by then may be committed later, but not after a later one.
func (s *Server) commitCeilings(ctx context.Context, wanted *quota.Ceilings) {
	ctx, cancel := context.WithTimeout(ctx, ceilingsWriteTimeout)
	defer cancel()
	command := Command{Residency: &residencyreport.Update{}, Quota: wanted}
	body, _ := command.MarshalMsg(nil) // never fails
	answer, err := s.submitAndWait(ctx, func(now time.Duration, token uint64) replication.Output {
		return s.replica.Propose(now, token, body)
	})
	if err != nil || answer.Result != replication.Committed {
		s.log.Debug("quota ceilings not committed", zap.Error(err))
		return
	}
	s.log.Info("quota ceilings committed", zap.Bool("all", wanted.All), zap.Strings("tenants", wanted.Tenants))
}
