package nodeagent

import (
	"bytes"
	"context"
	"time"

	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
)

const (
	// assumedProxies is the least number of proxies, all of whose agents may poll too, that the poll interval is
	// computed for.
	assumedProxies = 16
	// pollRateShare is the share of the platform's rate limit that all node agents may use together. The other half is
	// for the control server that polls for the fleet: it may still be running on another side of a partition.
	pollRateShare = 0.5
	// minPlatformRate is the least rate limit that is assumed, in calls per second; the settings may have 0.
	minPlatformRate = 0.1
	// minPollInterval is the least time between two polls by one node agent.
	minPollInterval = time.Second
)

// pendingList is a list of backends from a control server that may be partitioned from the primary, while this process
// polls the platform itself: it is published once it is known to be newer than the polled list.
type pendingList struct {
	resource *distribution.Resource // nil: none
	polledAt time.Time              // when this process last polled the platform; zero: not since the last publication
}

// superseded reports whether the list that this process polled is at least as new as the control servers' list, given
// their last contact with a primary.
func (p *pendingList) superseded(lastContact time.Time) bool {
	return !p.polledAt.IsZero() && !lastContact.After(p.polledAt)
}

// publishPending publishes the pending list of a control server, unless it is superseded.
func (a *Agent) publishPending() {
	lastContact, _ := a.cache.LastContact()
	resource := a.pending.resource
	if resource == nil || a.pending.superseded(lastContact) {
		return
	}
	a.pending = pendingList{}
	a.polledList = nil
	a.publish(resource)
	a.listVersions.record(a.localVersion, resource.Version)
}

// pollDirectly polls the platform for the list of backends if there was no contact with a primary for half of
// Bounds.Drain: the agent must learn of a draining backend before requests to it are forbidden. It blocks for the calls
// to the platform, and does nothing before nextPoll.
func (a *Agent) pollDirectly(ctx context.Context) {
	lastContact, _ := a.cache.LastContact()
	if a.platform == nil || time.Since(lastContact) < a.settings.Bounds.Drain/2 || time.Now().Before(a.nextPoll) {
		return
	}
	polledAt := time.Now()
	list, calls, err := a.platform.List(ctx)
	a.nextPoll = time.Now().Add(a.pollInterval(calls))
	if err != nil {
		a.log.Debug("platform list failed", zap.Error(err))
		return
	}
	externalapi.SortByID(&list)
	snapshot, err := list.MarshalMsg(nil)
	if err != nil {
		return
	}
	a.pending.polledAt = polledAt
	if bytes.Equal(snapshot, a.polledList) {
		return
	}
	a.log.Info("control plane unreachable, polling the platform directly", zap.Int("backends", len(list.Backends)))
	a.polledList = snapshot
	// A control server must send its list again, although it was received before.
	delete(a.upstreamVersions, distribution.BackendListType)
	a.localVersion.Count++
	a.cache.SetSnapshot(distribution.BackendListType, a.localVersion, snapshot)
}

// pollInterval returns the time until the next poll if each poll takes the given number of calls: all proxies' agents
// may poll too, so each uses an equal part of their share of the platform's rate limit.
func (a *Agent) pollInterval(calls int) time.Duration {
	callsOfAll := float64(max(a.proxyCount, assumedProxies) * max(calls, 1))
	rate := max(a.settings.Provider.Rate, minPlatformRate) * pollRateShare
	return max(time.Duration(callsOfAll/rate*float64(time.Second)), minPollInterval)
}
