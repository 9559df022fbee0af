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
	// detectionInterval is the time between two judgements of the backends.
	detectionInterval = 100 * time.Millisecond
	// ejectionRefresh is how often ejections in force are sent again, so that they don't lapse.
	ejectionRefresh = time.Second
)

// outlierEjector judges backends by what all proxies tell of them, while this machine is the primary.
type outlierEjector struct {
	server   *Server
	epoch    uint64
	count    uint64
	detector *outlier.Detector
	ejected  []distribution.Ejection
	sent     time.Time
}

// detectOutliers runs until ctx ends.
func (s *Server) detectOutliers(ctx context.Context) {
	d := &outlierEjector{server: s}
	for ; ctx.Err() == nil; sleep(ctx, detectionInterval) {
		if st := s.status.Load(); s.isLeader(st) {
			d.step(st.Epoch, time.Now())
		}
	}
}

// step judges as the primary of an epoch, and publishes what is ejected.
func (d *outlierEjector) step(epoch uint64, now time.Time) {
	if d.detector == nil || d.epoch != epoch {
		d.epoch, d.count, d.detector, d.ejected = epoch, 0, outlier.NewDetector(), nil
	}
	polls := d.server.lastPoll.Load()
	if polls == nil || polls.epoch != epoch || polls.list == nil {
		return
	}
	ms := float64(now.Sub(d.server.start).Milliseconds())
	reports := d.server.cache.Outcomes.Take()
	for i := range reports {
		d.detector.Observe(ms, &reports[i])
	}
	if len(reports) == 0 && len(d.ejected) == 0 {
		return
	}
	ejected := d.detector.Step(ms, outlierPeers(polls.list))
	changed := !slices.Equal(ejected, d.ejected)
	if changed {
		d.server.log.Info("backends that do far worse than their peers", zap.Any("ejected", ejected))
	}
	if changed || len(ejected) > 0 && now.Sub(d.sent) >= ejectionRefresh {
		d.publish(ejected, now)
	}
}

// outlierPeers are the listed backends, in groups that serve the same requests.
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

func (d *outlierEjector) publish(ejected []distribution.Ejection, now time.Time) {
	d.count++
	d.ejected, d.sent = ejected, now
	all := distribution.Ejections{Ejected: ejected}
	b, _ := all.MarshalMsg(nil) // it has no way to fail
	d.server.cache.SetSnapshot(distribution.EjectionsType, distribution.Version{Epoch: d.epoch, Count: d.count}, b)
}
