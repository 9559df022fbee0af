package controlplane

import (
	"time"

	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/routingconfig"
)

// settle makes committed state known: to readers, and at the primary to those that pull.
func (o *Server) settle(committed uint64) {
	done := o.record.settle(committed)
	if len(done) == 0 {
		return
	}
	last := &done[len(done)-1]
	was := o.settled.Load()
	if was != nil && was.seq >= last.seq {
		return
	}
	defer o.settled.Store(last)
	var docs []*applied // that brought a configuration
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
		if !o.publishChange(was, d) && i == len(docs)-1 {
			o.store.Set(distribution.SourceConfig, distribution.Version{Count: d.docSeq}, d.doc.Show())
		}
		was = d
	}
	o.noteSettled(last, time.Now())
	o.log.Info("configuration settled", zap.Uint64("seq", last.docSeq), zap.Int64("version", versionOf(last.doc)))
}

// publishChange passes a committed change on to those that pull. It reports false where the change isn't known or doesn't
// follow on what was published before: then the whole is due.
func (o *Server) publishChange(was, d *applied) bool {
	if was == nil || d.call == nil || d.before != was.docSeq {
		return false
	}
	at := distribution.Version{Count: d.docSeq}
	change := distribution.Change{At: at, Replace: d.call.Replace, Body: d.call.Body}
	return o.store.Append(distribution.SourceConfig, distribution.Version{Count: was.docSeq}, at, change, d.doc.Show)
}

func versionOf(d *routingconfig.Document) int64 {
	if d == nil {
		return 0
	}
	return d.Version()
}
