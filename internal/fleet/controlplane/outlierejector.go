package controlplane

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/outlier"
)

const (
	// detectionInterval is the time between two evaluations of the backends.
	detectionInterval = 100 * time.Millisecond
	// ejectionRefresh is the time after which active ejections are published again, so that they don't expire.
	ejectionRefresh = time.Second
)

// outlierEjector ejects outlier backends according to the outcomes that all proxies report, while this machine is the
// primary. It belongs to the goroutine of detectOutliers.
type outlierEjector struct {
	server   *Server
	epoch    uint64 // epoch to which the fields below belong
	count    uint64 // number of publications in that epoch
	detector *outlier.Detector
	ejected  []distribution.Ejection // last published
	sent     time.Time               // time of the last publication
}

// detectOutliers evaluates the backends at detectionInterval until ctx ends.
func (s *Server) detectOutliers(ctx context.Context) {
	e := &outlierEjector{server: s}
	for ; ctx.Err() == nil; sleep(ctx, detectionInterval) {
		if st := s.status.Load(); s.isLeader(st) {
			e.step(st.Epoch, time.Now())
		}
	}
}

// step evaluates the backends as the primary of an epoch, and publishes the ejections.
func (e *outlierEjector) step(epoch uint64, now time.Time) {
	if e.detector == nil || e.epoch != epoch {
		e.reset(epoch)
	}
	poll := e.server.lastPoll.Load()
	if poll == nil || poll.epoch != epoch || poll.list == nil {
		return
	}
	ms := float64(now.Sub(e.server.start).Milliseconds())
	reports := e.server.cache.Outcomes.Take()
	for i := range reports {
		e.detector.Observe(ms, &reports[i])
	}
	if len(reports) == 0 && len(e.ejected) == 0 {
		return
	}
	ejected := e.detector.Step(ms, outlierPeers(poll.list))
	changed := !slices.Equal(ejected, e.ejected)
	if changed {
		e.server.log.Info("outlier ejections changed", zap.Any("ejected", ejected))
	}
	if changed || len(ejected) > 0 && now.Sub(e.sent) >= ejectionRefresh {
		e.publish(ejected, now)
	}
}

// reset clears the state of an earlier epoch.
func (e *outlierEjector) reset(epoch uint64) {
	e.epoch = epoch
	e.count = 0
	e.detector = outlier.NewDetector()
	e.ejected = nil
}

// outlierPeers returns the active backends of a list, grouped by service and phase, as those of one group serve the
// same kind of requests.
func outlierPeers(list *distribution.BackendList) []outlier.Peer {
	peers := make([]outlier.Peer, 0, len(list.Backends))
	for _, b := range list.Backends {
		if b.Draining || b.Phase == distribution.PhaseChanging {
			continue
		}
		peers = append(peers, outlier.Peer{ID: b.ID, Group: b.Service + " " + b.Phase})
	}
	return peers
}

// publish publishes ejections under the next version of the epoch.
func (e *outlierEjector) publish(ejected []distribution.Ejection, now time.Time) {
	e.count++
	e.ejected = ejected
	e.sent = now
	all := distribution.Ejections{Ejected: ejected}
	b, _ := all.MarshalMsg(nil) // never fails
	e.server.cache.SetSnapshot(distribution.EjectionsType, distribution.Version{Epoch: e.epoch, Count: e.count}, b)
}
