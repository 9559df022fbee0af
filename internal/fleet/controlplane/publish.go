package controlplane

import (
	"time"

	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/routingconfig"
)

// publishCommitted publishes the state up to a committed change: to readers here, and at the primary to those that
// pull.
func (s *Server) publishCommitted(committed uint64) {
	done := s.state.takeCommitted(committed)
	if len(done) == 0 {
		return
	}
	last := &done[len(done)-1]
	was := s.committed.Load()
	if was != nil && was.seq >= last.seq {
		return
	}
	s.quota.SetCeilings(last.quota)
	// Readers see the state after those that pull may: a caller who reads a version here finds it there.
	defer s.committed.Store(last)
	configs := newConfigs(was, done)
	if len(configs) == 0 {
		return // residency writes, say
	}
	s.quota.SetLimits(s.quotaRule.LimitsOf(last.doc.Accounts())) // before a proxy can know of them
	s.publishConfigs(was, configs)
	s.recordConfigCommit(last, time.Now())
	s.log.Info("configuration committed", zap.Uint64("seq", last.docSeq), zap.Int64("version", versionOf(last.doc)))
}

// newConfigs returns those of the states that brought a configuration newer than was; nil: there was none.
func newConfigs(was *appliedState, states []appliedState) []*appliedState {
	newest := uint64(0)
	if was != nil {
		newest = was.docSeq
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

// publishConfigs publishes configurations that follow on each other, as changes where that is possible. The last is
// published complete otherwise, and then the ones before needn't be.
func (s *Server) publishConfigs(was *appliedState, configs []*appliedState) {
	for i, config := range configs {
		if !s.publishChange(was, config) && i == len(configs)-1 {
			version := distribution.Version{Count: config.docSeq}
			s.cache.SetSnapshot(distribution.ConfigType, version, config.doc.Show())
		}
		was = config
	}
}

// publishChange publishes a committed change. It returns false where the change isn't known or doesn't follow on what
// was published before: then the complete configuration is due.
func (s *Server) publishChange(was, next *appliedState) bool {
	if was == nil || next.command == nil || next.prevDocSeq != was.docSeq {
		return false
	}
	from := distribution.Version{Count: was.docSeq}
	to := distribution.Version{Count: next.docSeq}
	change := distribution.Change{Version: to, Replace: next.command.Replace, Body: next.command.Body}
	return s.cache.AppendChange(distribution.ConfigType, from, to, change, next.doc.Show)
}

// configCommit says when the newest configuration was found committed here, by which change.
type configCommit struct {
	version int64
	seq     uint64
	at      time.Time
}

// recordConfigCommit records when a committed state came, where it brings another configuration.
func (s *Server) recordConfigCommit(state *appliedState, now time.Time) {
	if was := s.committedConfig.Load(); was == nil || was.version != versionOf(state.doc) {
		s.committedConfig.Store(&configCommit{version: versionOf(state.doc), seq: state.docSeq, at: now})
	}
}

// versionOf returns the version of a configuration, 0 where there is none.
func versionOf(doc *routingconfig.Document) int64 {
	if doc == nil {
		return 0
	}
	return doc.Version()
}
