package controlplane

import (
	"encoding/json"
	"net/http"
	"time"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/replication"
	"molepaddle/internal/fleet/routingconfig"
)

// handler serves the operator's calls. What a call says of the state is said by the primary alone, after its backups have
// confirmed its view in a round that began after the call came.
func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(externalapi.CallReplace.Method+" "+externalapi.CallReplace.Path, func(w http.ResponseWriter, r *http.Request) { s.change(w, r, true) })
	mux.HandleFunc(externalapi.CallUpdate.Method+" "+externalapi.CallUpdate.Path, func(w http.ResponseWriter, r *http.Request) { s.change(w, r, false) })
	mux.HandleFunc(externalapi.CallShow.Method+" "+externalapi.CallShow.Path, s.showConfig)
	mux.HandleFunc(externalapi.CallResidency.Method+" "+externalapi.CallResidency.Path, s.showResidency)
	mux.HandleFunc(externalapi.CallStatus.Method+" "+externalapi.CallStatus.Path, s.showStatus)
	return mux
}

// unavailable tells a caller to ask again, here or elsewhere.
func (s *Server) unavailable(w http.ResponseWriter, why string) {
	w.Header().Set(externalapi.HeaderRetryAfter, "0.2")
	s.writeError(w, http.StatusServiceUnavailable, why, nil)
}

func (s *Server) writeError(w http.ResponseWriter, status int, why string, found routingconfig.Findings) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	type finding struct {
		Place string `json:"place"`
		Text  string `json:"text"`
	}
	body := struct {
		Error    string    `json:"err"`
		Findings []finding `json:"findings,omitempty"`
	}{Error: why}
	for _, f := range found {
		body.Findings = append(body.Findings, finding{f.Path, f.Message})
	}
	_ = json.NewEncoder(w).Encode(body)
}

// showConfig answers with the newest acknowledged configuration.
func (s *Server) showConfig(w http.ResponseWriter, r *http.Request) {
	d, seq, ok := s.linearizableRead(w, r)
	if !ok {
		return
	}
	if d == nil || d.doc == nil {
		if seq > 0 {
			s.unavailable(w, "not settled")
			return
		}
		s.writeError(w, http.StatusNotFound, "no configuration yet", nil)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(d.doc.Show())
}

// linearizableRead gives the newest state once the view is known to stand, and the change that it is at least as new as; nil:
// there is no change yet. false: the caller was answered.
func (s *Server) linearizableRead(w http.ResponseWriter, r *http.Request) (d *appliedState, seq uint64, ok bool) {
	ctx, cancel := s.withContact(r.Context(), callTimeout)
	defer cancel()
	if !s.admit(ctx, w, r) {
		return nil, 0, false
	}
	ans, err := s.submitAndWait(ctx, func(now time.Duration, token uint64) replication.Output { return s.replica.Read(now, token) })
	if err != nil || ans.Result != replication.Confirmed {
		s.unavailable(w, "the view is not confirmed")
		return nil, 0, false
	}
	d = s.committed.Load()
	if ans.Seq > 0 && (d == nil || d.seq < ans.Seq) {
		s.unavailable(w, "not settled")
		return nil, 0, false
	}
	return d, ans.Seq, true
}
