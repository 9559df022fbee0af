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
func (o *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(externalapi.Replace.Method+" "+externalapi.Replace.Path, func(w http.ResponseWriter, r *http.Request) { o.change(w, r, true) })
	mux.HandleFunc(externalapi.Update.Method+" "+externalapi.Update.Path, func(w http.ResponseWriter, r *http.Request) { o.change(w, r, false) })
	mux.HandleFunc(externalapi.Show.Method+" "+externalapi.Show.Path, o.show)
	mux.HandleFunc(externalapi.Resided.Method+" "+externalapi.Resided.Path, o.residency)
	mux.HandleFunc(externalapi.Status.Method+" "+externalapi.Status.Path, o.tell)
	return mux
}

// later tells a caller to ask again, here or elsewhere.
func (o *Server) later(w http.ResponseWriter, why string) {
	w.Header().Set(externalapi.RetryAfter, "0.2")
	o.fail(w, http.StatusServiceUnavailable, why, nil)
}

func (o *Server) fail(w http.ResponseWriter, status int, why string, found routingconfig.Findings) {
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
		body.Findings = append(body.Findings, finding{f.Place, f.Text})
	}
	_ = json.NewEncoder(w).Encode(body)
}

// show answers with the newest acknowledged configuration.
func (o *Server) show(w http.ResponseWriter, r *http.Request) {
	d, seq, ok := o.confirmed(w, r)
	if !ok {
		return
	}
	if d == nil || d.doc == nil {
		if seq > 0 {
			o.later(w, "not settled")
			return
		}
		o.fail(w, http.StatusNotFound, "no configuration yet", nil)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(d.doc.Show())
}

// confirmed gives the newest state once the view is known to stand, and the change that it is at least as new as; nil:
// there is no change yet. false: the caller was answered.
func (o *Server) confirmed(w http.ResponseWriter, r *http.Request) (d *applied, seq uint64, ok bool) {
	ctx, cancel := o.whileInTouch(r.Context(), answerWithin)
	defer cancel()
	if !o.admit(ctx, w, r) {
		return nil, 0, false
	}
	ans, err := o.ask(ctx, func(now time.Duration, token uint64) replication.Output { return o.machine.Read(now, token) })
	if err != nil || ans.Result != replication.Confirmed {
		o.later(w, "the view is not confirmed")
		return nil, 0, false
	}
	d = o.settled.Load()
	if ans.Seq > 0 && (d == nil || d.seq < ans.Seq) {
		o.later(w, "not settled")
		return nil, 0, false
	}
	return d, ans.Seq, true
}
