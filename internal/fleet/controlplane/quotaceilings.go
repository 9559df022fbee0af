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
	// ceilingsInterval is the least time between two writes of the quotas' ceilings, and how often it is looked whether
	// one is due.
	ceilingsInterval = 100 * time.Millisecond
	// ceilingsWriteTimeout bounds how long such a write may take to be committed.
	ceilingsWriteTimeout = time.Second
)

// commitQuotaCeilings commits the ceilings that the allocator of quotas needs, while this machine is the primary, until
// ctx ends.
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

// commitCeilings has ceilings committed; they are made use of once they are. It blocks for ceilingsWriteTimeout at the
// most. One that isn't committed by then may be committed later, but not after a later one.
func (s *Server) commitCeilings(ctx context.Context, wanted *quota.Ceilings) {
	ctx, cancel := context.WithTimeout(ctx, ceilingsWriteTimeout)
	defer cancel()
	command := Command{Residency: &residencyreport.Update{}, Quota: wanted}
	body, _ := command.MarshalMsg(nil) // it has no way to fail
	answer, err := s.submitAndWait(ctx, func(now time.Duration, token uint64) replication.Output {
		return s.replica.Propose(now, token, body)
	})
	if err != nil || answer.Result != replication.Committed {
		s.log.Debug("ceilings of quotas not committed", zap.Error(err))
		return
	}
	s.log.Info("ceilings of quotas committed", zap.Bool("all", wanted.All), zap.Strings("tenants", wanted.Tenants))
}
