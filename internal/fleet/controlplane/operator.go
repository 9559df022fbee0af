package controlplane

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"go.uber.org/zap"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/replication"
	"molepaddle/internal/fleet/routingconfig"
)

const (
	// maxConfig bounds a configuration, in bytes.
	maxConfig = 16 << 20
	// answerWithin is how long a call of the operator waits for the record; callers turn elsewhere after a second.
	answerWithin = 3 * time.Second
)

func (o *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(externalapi.Replace.Method+" "+externalapi.Replace.Path, func(w http.ResponseWriter, r *http.Request) { o.change(w, r, true) })
	mux.HandleFunc(externalapi.Update.Method+" "+externalapi.Update.Path, func(w http.ResponseWriter, r *http.Request) { o.change(w, r, false) })
	mux.HandleFunc(externalapi.Show.Method+" "+externalapi.Show.Path, o.show)
	mux.HandleFunc(externalapi.Resided.Method+" "+externalapi.Resided.Path, o.residency)
	mux.HandleFunc(externalapi.Status.Method+" "+externalapi.Status.Path, o.tell)
	return mux
}

// elsewhere sends a caller to the primary, where that is another machine; false: this is the primary.
func (o *Server) elsewhere(w http.ResponseWriter, r *http.Request) bool {
	st := o.status.Load()
	if st.Role == replication.Primary {
		return false
	}
	host, _, err := net.SplitHostPort(st.PrimaryAddr)
	_, port, err2 := net.SplitHostPort(o.set.Bind.Control)
	if err != nil || err2 != nil || !st.Ready {
		o.later(w, "no primary is known")
		return true
	}
	to := url.URL{Scheme: "http", Host: net.JoinHostPort(host, port), Path: r.URL.Path, RawQuery: r.URL.RawQuery}
	w.Header().Set("Location", to.String())
	w.WriteHeader(http.StatusTemporaryRedirect)
	return true
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

func (o *Server) change(w http.ResponseWriter, r *http.Request, replace bool) {
	base, err := strconv.ParseInt(r.Header.Get(externalapi.BaseVersion), 10, 64)
	if err != nil || base < 0 {
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxConfig))
		o.fail(w, http.StatusBadRequest, externalapi.BaseVersion+": no whole number", nil)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfig))
	if err != nil {
		if tooLong, ok := err.(*http.MaxBytesError); ok {
			o.fail(w, http.StatusRequestEntityTooLarge, tooLong.Error(), nil)
			return
		}
		// What came in part may have been accepted when it came whole: that is no reason to refuse it.
		o.later(w, "the body is not whole")
		return
	}
	if o.elsewhere(w, r) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerWithin)
	defer cancel()
	select {
	case o.writing <- struct{}{}:
	case <-ctx.Done():
		o.later(w, "another change is under way")
		return
	}
	call := &Call{Replace: replace, Base: base, Body: body}
	// What is judged and what is proposed belong together: both happen in the driver's goroutine.
	judged := make(chan *verdict, 1)
	done := make(chan *verdict, 1)
	go func() {
		defer func() { <-o.writing }()
		// The change goes on when its caller has left: the next one waits for its end.
		wait, cancel := context.WithTimeout(context.Background(), 4*answerWithin)
		defer cancel()
		ans, err := o.ask(wait, func(now time.Duration, token uint64) replication.Output {
			v, out := o.record.submit(o.machine, now, token, call, routingconfig.KnownRegions(o.set.Zones))
			judged <- v
			return out
		})
		if err != nil {
			done <- outcome(nil, replication.Answer{})
			return
		}
		done <- outcome(<-judged, ans)
	}()
	select {
	case v := <-done:
		o.answer(w, v)
	case <-ctx.Done():
		o.later(w, "not settled yet")
	}
}

// answer tells the caller of a change what became of it.
func (o *Server) answer(w http.ResponseWriter, v *verdict) {
	switch v.status {
	case http.StatusOK:
		w.WriteHeader(http.StatusOK)
	case http.StatusServiceUnavailable:
		o.later(w, v.why)
	default:
		o.log.Info("change refused", zap.Int("status", v.status), zap.String("why", v.why), zap.Stringer("findings", v.found))
		o.fail(w, v.status, v.why, v.found)
	}
}

func (o *Server) show(w http.ResponseWriter, r *http.Request) {
	if o.elsewhere(w, r) {
		return
	}
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
	ctx, cancel := context.WithTimeout(r.Context(), answerWithin)
	defer cancel()
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
