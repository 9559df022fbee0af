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
		at := distribution.Version{Count: d.docSeq}
		if was != nil && d.call != nil && o.store.Append(distribution.SourceConfig, distribution.Version{Count: was.docSeq}, at, distribution.Change{At: at, Replace: d.call.Replace, Body: d.call.Body}) {
			was = d
			continue
		}
		was = d
		if i == len(docs)-1 {
			o.store.Set(distribution.SourceConfig, at, d.doc.Show())
		}
	}
	o.noteSettled(last, time.Now())
	o.log.Info("configuration settled", zap.Uint64("seq", last.docSeq), zap.Int64("version", versionOf(last.doc)))
}

func versionOf(d *routingconfig.Document) int64 {
	if d == nil {
		return 0
	}
	return d.Version()
}
