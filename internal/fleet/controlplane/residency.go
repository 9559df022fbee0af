package controlplane

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/replication"
	"molepaddle/internal/fleet/residencyreport"
)

const (
	// DefaultResidencyInterval is the minimum time between two writes of the residency record: each costs a disk write
	// on the primary and its backups.
	DefaultResidencyInterval = 30 * time.Second
	// minResidencyInterval is the minimum time if a pair of tenant and region is new, not all batches fitted into the
	// last write, or that write failed.
	minResidencyInterval = 2 * time.Second
	// residencyTick is the interval at which the pending batches are checked for new pairs.
	residencyTick = time.Second
	// residencyWriteTimeout bounds the wait for a write of the residency record to be committed.
	residencyWriteTimeout = 3 * time.Second
)

// recordResidency commits the batches received from node agents, while this machine is the primary, until ctx ends. It
// sleeps while there are none. Operator calls don't wait for it.
func (s *Server) recordResidency(ctx context.Context) {
	var last time.Time
	urgent := false
	for ctx.Err() == nil {
		pending, arrived := s.cache.Residency.Pending()
		st, changed := s.watch()
		if len(pending) == 0 {
			waitFor(ctx, arrived)
			continue
		}
		if st.Role != replication.Primary || !st.Ready {
			waitFor(ctx, changed)
			continue
		}
		interval := s.ResidencyInterval
		if urgent || s.hasNewPairs(pending) {
			interval = min(interval, minResidencyInterval)
		}
		if wait := interval - time.Since(last); wait > 0 {
			sleep(ctx, min(wait, residencyTick))
			continue
		}
		last = time.Now()
		urgent = s.commitResidency(ctx, pending)
	}
}

// hasNewPairs reports whether the batches contain a pair that the committed residency record doesn't have.
func (s *Server) hasNewPairs(batches []residencyreport.Batch) bool {
	committed := s.committed.Load()
	if committed == nil {
		return true
	}
	for i := range batches {
		batch := &batches[i]
		if batch.N <= committed.residency.AckedUpTo(batch.Process) {
			continue
		}
		for j := range batch.Entries {
			if !committed.residency.Has(batch.Entries[j].Pair) {
				return true
			}
		}
	}
	return false
}

// commitResidency proposes the merged batches, and acknowledges those that are in the committed state. It blocks for
// residencyWriteTimeout at most, and reports whether another write should follow soon.
func (s *Server) commitResidency(ctx context.Context, batches []residencyreport.Batch) (urgent bool) {
	ctx, cancel := context.WithTimeout(ctx, residencyWriteTimeout)
	defer cancel()
	var base *residencyreport.Totals
	if committed := s.committed.Load(); committed != nil {
		base = committed.residency
	}
	update, more := base.Merge(batches)
	body, _ := (&Command{Residency: &update}).MarshalMsg(nil) // never fails
	// The update is valid only on the state it was merged with: the check and the proposal are one input of the driver.
	ans, err := s.submitAndWait(ctx, func(now time.Duration, token uint64) replication.Output {
		if update.Empty() || s.state.residency != base {
			return s.replica.Read(now, token)
		}
		return s.replica.Propose(now, token, body)
	})
	if err != nil || ans.Result != replication.Committed && ans.Result != replication.Confirmed {
		s.log.Debug("residency record not committed", zap.Error(err))
		return true
	}
	committed := s.committed.Load()
	if committed == nil {
		return true
	}
	var acks []residencyreport.Ack
	for i := range batches {
		if b := &batches[i]; b.N <= committed.residency.AckedUpTo(b.Process) {
			acks = append(acks, residencyreport.Ack{Process: b.Process, N: b.N})
		}
	}
	s.cache.Residency.Acknowledge(acks...)
	return more || len(acks) < len(batches)
}

// showResidency answers with the residency record: of one tenant, of one route that has regions without a tenant, or of
// all.
func (s *Server) showResidency(w http.ResponseWriter, r *http.Request) error {
	applied, seq, err := s.linearizableRead(r)
	if err != nil {
		return err
	}
	tenant := r.URL.Query().Get(externalapi.QueryTenant)
	route := r.URL.Query().Get(externalapi.QueryRoute)
	match := func(p residencyreport.Pair) bool {
		return (tenant == "" || p.Tenant == tenant) && (route == "" || p.Tenant == "" && p.Route == route)
	}
	report := externalapi.ResidencyReport{Seq: seq, Rows: []externalapi.ResidencyRow{}}
	if applied != nil {
		for _, entry := range applied.residency.Report(match) {
			report.Rows = append(report.Rows, residencyRow(&entry))
		}
	}
	if len(report.Rows) == 0 && !isConfigured(applied, tenant, route) {
		return &callError{
			status: http.StatusNotFound,
			reason: "nothing is known of such a name: it is not listed and nothing of it rested anywhere",
		}
	}
	writeJSON(w, report)
	return nil
}

// residencyRow returns an entry in the form shown to the operator.
func residencyRow(entry *residencyreport.Entry) externalapi.ResidencyRow {
	return externalapi.ResidencyRow{
		Tenant:   entry.Pair.Tenant,
		Route:    entry.Pair.Route,
		Region:   entry.Pair.Region,
		First:    time.UnixMilli(entry.First).UTC(),
		Last:     time.UnixMilli(entry.Last).UTC(),
		Plain:    entry.Counts.Plain,
		Prefills: entry.Counts.Prefills,
		Decodes:  entry.Counts.Decodes,
		Resumes:  entry.Counts.Resumes,
	}
}

// isConfigured reports whether the configuration contains the requested tenant or route; true if neither is requested.
func isConfigured(applied *appliedState, tenant, route string) bool {
	if tenant == "" && route == "" {
		return true
	}
	if applied == nil || applied.doc == nil {
		return false
	}
	for _, t := range applied.doc.Tenants() {
		if t.Name == tenant {
			return true
		}
	}
	for _, r := range applied.doc.RoutesWithResidencyTerms() {
		if r.Tenant == "" && r.Name == route {
			return true
		}
	}
	return false
}
