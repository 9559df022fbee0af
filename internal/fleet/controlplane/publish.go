package controlplane

import (
	"time"

	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/routingconfig"
)

// takeCommitted makes committed state known: to readers, and at the primary to those that pull.
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
	defer s.committed.Store(last)
	var docs []*appliedState // that brought a configuration
	from := uint64(0)
	if was != nil {
		from = was.docSeq
	}
	for i := range done {
		if d := &done[i]; d.doc != nil && d.docSeq > from {
			docs, from = append(docs, d), d.docSeq
		}
	}
	if len(docs) == 0 {
		return // a reading, say
	}
	for i, d := range docs {
		if !s.publishChange(was, d) && i == len(docs)-1 {
			s.cache.SetSnapshot(distribution.ConfigType, distribution.Version{Count: d.docSeq}, d.doc.Show())
		}
		was = d
	}
	s.recordConfigCommit(last, time.Now())
	s.log.Info("configuration settled", zap.Uint64("seq", last.docSeq), zap.Int64("version", versionOf(last.doc)))
}

// publishChange passes a committed change on to those that pull. It reports false where the change isn't known or doesn't
// follow on what was published before: then the whole is due.
func (s *Server) publishChange(was, d *appliedState) bool {
	if was == nil || d.command == nil || d.prevDocSeq != was.docSeq {
		return false
	}
	at := distribution.Version{Count: d.docSeq}
	change := distribution.Change{Version: at, Replace: d.command.Replace, Body: d.command.Body}
	return s.cache.AppendChange(distribution.ConfigType, distribution.Version{Count: was.docSeq}, at, change, d.doc.Show)
}

func versionOf(d *routingconfig.Document) int64 {
	if d == nil {
		return 0
	}
	return d.Version()
}
