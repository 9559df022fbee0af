package controlplane

import (
	"context"
	"net/http"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/replication"
)

// handler returns the HTTP handler of the operator's calls. Only the primary reveals the state, and only after its
// backups have confirmed its view in a round that began after the call arrived: the answer of a machine that was
// replaced meanwhile could be out of date.
func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	register := func(call externalapi.Call, h func(w http.ResponseWriter, r *http.Request) error) {
		mux.HandleFunc(call.Method+" "+call.Path, handle(h))
	}
	register(externalapi.CallReplace, func(w http.ResponseWriter, r *http.Request) error {
		return s.logUnanswered(r, s.change(w, r, true))
	})
	register(externalapi.CallUpdate, func(w http.ResponseWriter, r *http.Request) error {
		return s.logUnanswered(r, s.change(w, r, false))
	})
	register(externalapi.CallShow, s.showConfig)
	register(externalapi.CallResidency, s.showResidency)
	register(externalapi.CallStatus, s.showStatus)
	return mux
}

// showConfig answers with the newest committed configuration.
func (s *Server) showConfig(w http.ResponseWriter, r *http.Request) error {
	applied, seq, err := s.linearizableRead(r)
	if err != nil {
		return err
	}
	if applied == nil || applied.doc == nil {
		if seq > 0 {
			return unavailable("not settled")
		}
		return &callError{status: http.StatusNotFound, reason: "no configuration yet"}
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(applied.doc.Show())
	return nil
}

// linearizableRead returns the newest committed state once the view is confirmed, and the sequence number of a change
// that the state includes. The state is nil if there is no change yet.
func (s *Server) linearizableRead(r *http.Request) (applied *appliedState, seq uint64, err error) {
	ctx, cancel := s.withContact(r.Context(), callTimeout)
	defer cancel()
	if err := s.admit(ctx, r); err != nil {
		return nil, 0, err
	}
	return s.confirmedState(ctx)
}

// confirmedState confirms the view and returns the newest committed state, as linearizableRead does. This machine must
// be the primary.
func (s *Server) confirmedState(ctx context.Context) (applied *appliedState, seq uint64, err error) {
	ans, err := s.confirmView(ctx)
	if err != nil || ans.Result != replication.Confirmed {
		return nil, 0, unavailable("the view is not confirmed")
	}
	applied = s.committed.Load()
	if ans.Seq > 0 && (applied == nil || applied.seq < ans.Seq) {
		return nil, 0, unavailable("not settled")
	}
	return applied, ans.Seq, nil
}
