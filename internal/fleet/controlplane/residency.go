package controlplane

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"go.uber.org/zap"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/replication"
	"molepaddle/internal/fleet/residencyreport"
)

const (
	// DefaultResidencyInterval is the least time between two readings: each costs a write on the disks of the primary and its backups.
	DefaultResidencyInterval = 30 * time.Second
	// minResidencyInterval is that time where a pair of tenant and region is new, there was no room for all, or the last one failed.
	minResidencyInterval = 2 * time.Second
	// residencyTick is how often what waits for a reading is looked at for something new.
	residencyTick = time.Second
	// residencyWriteTimeout bounds how long a reading may take to settle.
	residencyWriteTimeout = 3 * time.Second
)

// decodeSnapshot has the record take what node agents handed on, while this is the primary. It sleeps for good where nothing comes,
// and calls of the operator don't wait for it.
func (s *Server) recordResidency(ctx context.Context) {
	var last time.Time
	hurry := false
	for ctx.Err() == nil {
		open, arrived := s.cache.Residency.Pending()
		st, changed := s.watch()
		if len(open) == 0 {
			select {
			case <-arrived:
			case <-ctx.Done():
			}
			continue
		}
		if st.Role != replication.Primary || !st.Ready {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		every := s.ResidencyInterval
		if hurry || s.hasNewPairs(open) {
			every = min(every, minResidencyInterval)
		}
		if wait := every - time.Since(last); wait > 0 {
			sleep(ctx, min(wait, residencyTick))
			continue
		}
		last = time.Now()
		hurry = s.commitResidency(ctx, open)
	}
}

// hasNewPairs tells whether batches have something of a pair that the record knows nothing of.
func (s *Server) hasNewPairs(open []residencyreport.Batch) bool {
	settled := s.committed.Load()
	if settled == nil {
		return true
	}
	for i := range open {
		if open[i].N <= settled.residency.AckedUpTo(open[i].Process) {
			continue
		}
		for j := range open[i].Entries {
			if !settled.residency.Has(open[i].Entries[j].Pair) {
				return true
			}
		}
	}
	return false
}

// commitResidency has the record take some batches, and lets those go that are on all disks that they have to be on. It reports
// whether there is more to be done soon.
func (s *Server) commitResidency(ctx context.Context, open []residencyreport.Batch) (soon bool) {
	within, cancel := context.WithTimeout(ctx, residencyWriteTimeout)
	defer cancel()
	var base *residencyreport.Totals
	if settled := s.committed.Load(); settled != nil {
		base = settled.residency
	}
	r, more := base.Merge(open)
	body, _ := (&Command{Reading: &r}).MarshalMsg(nil) // it has no way to fail
	// What was composed and what is proposed belong together: in the driver's goroutine nothing comes between.
	ans, err := s.submitAndWait(within, func(now time.Duration, token uint64) replication.Output {
		if r.Empty() || s.state.residency != base {
			return s.replica.Read(now, token)
		}
		return s.replica.Propose(now, token, body)
	})
	if err != nil || ans.Result != replication.Committed && ans.Result != replication.Confirmed {
		s.log.Debug("reading not settled", zap.Error(err))
		return true
	}
	settled := s.committed.Load()
	if settled == nil {
		return true
	}
	var kept []residencyreport.Ack
	for i := range open {
		if b := &open[i]; b.N <= settled.residency.AckedUpTo(b.Process) {
			kept = append(kept, residencyreport.Ack{Process: b.Process, N: b.N})
		}
	}
	s.cache.Residency.Acknowledge(kept...)
	return more || len(kept) < len(open)
}

// showResidency answers where data rested: of one tenant, of one route that has regions without a tenant, or of all.
func (s *Server) showResidency(w http.ResponseWriter, r *http.Request) {
	d, seq, ok := s.linearizableRead(w, r)
	if !ok {
		return
	}
	tenant, route := r.URL.Query().Get(externalapi.QueryTenant), r.URL.Query().Get(externalapi.QueryRoute)
	match := func(p residencyreport.Pair) bool {
		return (tenant == "" || p.Tenant == tenant) && (route == "" || p.Tenant == "" && p.Route == route)
	}
	answer := externalapi.ResidencyReport{Seq: seq, Rows: []externalapi.ResidencyRow{}}
	if d != nil {
		for _, e := range d.residency.Report(match) {
			answer.Rows = append(answer.Rows, externalapi.ResidencyRow{Tenant: e.Pair.Tenant, Route: e.Pair.Route, Region: e.Pair.Region,
				First: time.UnixMilli(e.First).UTC(), Last: time.UnixMilli(e.Last).UTC(),
				Plain: e.Counts.Plain, Prefills: e.Counts.Prefills, Decodes: e.Counts.Decodes, Resumes: e.Counts.Resumes})
		}
	}
	if len(answer.Rows) == 0 && !s.isConfigured(d, tenant, route) {
		s.writeError(w, http.StatusNotFound, "nothing is known of such a name: it is not listed and nothing of it rested anywhere", nil)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// isConfigured tells whether the configuration has the tenant or the route that is asked for; true where none is.
func (s *Server) isConfigured(d *appliedState, tenant, route string) bool {
	if tenant == "" && route == "" {
		return true
	}
	if d == nil || d.doc == nil {
		return false
	}
	for _, t := range d.doc.Tenants() {
		if t.Name == tenant {
			return true
		}
	}
	for _, r := range d.doc.RoutesWithResidencyTerms() {
		if r.Tenant == "" && r.Name == route {
			return true
		}
	}
	return false
}
