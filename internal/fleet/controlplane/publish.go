package controlplane

import (
	"time"

	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/routingconfig"
)

// publishCommitted publishes the state up to a committed change to local readers and to the clients that pull from this
// machine.
func (s *Server) publishCommitted(committed uint64) {
	states := s.state.takeCommitted(committed)
	if len(states) == 0 {
		return
	}
	last := &states[len(states)-1]
	previous := s.committed.Load()
	if previous != nil && previous.seq >= last.seq {
		return
	}
	s.quota.SetCeilings(last.quota)
	// Local readers see the state only after pulling clients can: a version that a caller reads here is available to
	// them.
	defer s.committed.Store(last)
	configs := newConfigs(previous, states)
	if len(configs) == 0 {
		return // for example, only residency writes
	}
	s.quota.SetLimits(s.quotaRule.LimitsOf(last.doc.Accounts())) // before a proxy can learn of them
	s.publishConfigs(previous, configs)
	s.recordConfigCommit(last, time.Now())
	s.log.Info("configuration committed", zap.Uint64("seq", last.docSeq), zap.Int64("version", versionOf(last.doc)))
}

// newConfigs returns those of the states that contain a configuration newer than that of previous; nil if there is
// none.
func newConfigs(previous *appliedState, states []appliedState) []*appliedState {
	newest := uint64(0)
	if previous != nil {
		newest = previous.docSeq
	}
	var configs []*appliedState
	for i := range states {
		if state := &states[i]; state.doc != nil && state.docSeq > newest {
			configs = append(configs, state)
			newest = state.docSeq
		}
	}
	return configs
}

// publishConfigs publishes consecutive configurations, as incremental changes where possible. If the last one can't be
// published as a change, it is published as a snapshot, and the ones before are not needed.
func (s *Server) publishConfigs(previous *appliedState, configs []*appliedState) {
	for i, config := range configs {
		if !s.publishChange(previous, config) && i == len(configs)-1 {
			version := distribution.Version{Count: config.docSeq}
			s.cache.SetSnapshot(distribution.ConfigType, version, config.doc.Show())
		}
		previous = config
	}
}

// publishChange publishes a committed change incrementally. It returns false if the change is unknown or doesn't follow
// the last published configuration: the complete configuration must then be published.
func (s *Server) publishChange(previous, next *appliedState) bool {
	if previous == nil || next.command == nil || next.prevDocSeq != previous.docSeq {
		return false
	}
	from := distribution.Version{Count: previous.docSeq}
	to := distribution.Version{Count: next.docSeq}
	change := distribution.Change{Version: to, Replace: next.command.Replace, Body: next.command.Body}
	return s.cache.AppendChange(distribution.ConfigType, from, to, change, next.doc.Show)
}

// configCommit records the version and sequence number of the newest committed configuration, and when this machine
// found it committed.
type configCommit struct {
	version int64
	seq     uint64
	at      time.Time
}

// recordConfigCommit records the time of a committed state if it contains a new configuration.
func (s *Server) recordConfigCommit(state *appliedState, now time.Time) {
	if previous := s.committedConfig.Load(); previous == nil || previous.version != versionOf(state.doc) {
		s.committedConfig.Store(&configCommit{version: versionOf(state.doc), seq: state.docSeq, at: now})
	}
}

// versionOf returns the version of a configuration; 0 if there is none.
func versionOf(doc *routingconfig.Document) int64 {
	if doc == nil {
		return 0
	}
	return doc.Version()
}
