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
	// assumedProxies stands for the number of proxies, all of which may poll as well, until the control plane reports
	// it.
	assumedProxies = 16
	// pollRateShare is the share of the platform's rate that the node agents take together. The other half is for the
	// control server that polls for all: it may still be at work on another side of a partition.
	pollRateShare = 0.5
	// minPlatformRate, in calls a second, stands in for a rate of 0.
	minPlatformRate = 0.1
	// minPollInterval is the least time between two polls by one node agent.
	minPollInterval = time.Second
)

// pendingList is a list of backends from a control server that may be partitioned off, while this process polls the
// platform itself: it is published once it is known to be the newer one.
type pendingList struct {
	resource *distribution.Resource // nil: none
	polledAt time.Time              // when the platform was last asked here; zero: not since the last publication
}

// superseded reports whether the list polled here is at least as new as what the control servers may have, who were
// last in touch with a primary at lastContact.
func (p *pendingList) superseded(lastContact time.Time) bool {
	return !p.polledAt.IsZero() && !lastContact.After(p.polledAt)
}

// publishPending publishes the list that came from a control server, unless it is superseded.
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

// pollDirectly asks the platform itself for the list of backends when no primary has been in touch for half of
// Bounds.Drain: a backend that begins to drain must be known before requests to it break a rule. It blocks for the
// platform's calls, and does nothing before nextPoll.
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
	// A control server's list is new again, though seen before.
	delete(a.upstreamVersions, distribution.BackendListType)
	a.localVersion.Count++
	a.cache.SetSnapshot(distribution.BackendListType, a.localVersion, snapshot)
}

// pollInterval is the time until the next poll when one takes so many calls: all proxies' agents may poll as well, so
// each takes an equal part of their share of the platform's rate.
func (a *Agent) pollInterval(calls int) time.Duration {
	callsOfAll := float64(max(a.proxyCount, assumedProxies) * max(calls, 1))
	rate := max(a.settings.Provider.Rate, minPlatformRate) * pollRateShare
	return max(time.Duration(callsOfAll/rate*float64(time.Second)), minPollInterval)
}
