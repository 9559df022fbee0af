package controlplane

import (
	"context"
	"errors"
	"io"
	"net/http"
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
	// changeWithin is how long a change that was proposed keeps others from being judged, after its caller has left.
	changeWithin = 12 * time.Second
)

// change answers a change of the configuration.
func (o *Server) change(w http.ResponseWriter, r *http.Request, replace bool) {
	call, ok := o.readCall(w, r, replace)
	if !ok {
		return
	}
	ctx, cancel := o.whileInTouch(r.Context(), callWithin(len(call.Body)))
	defer cancel()
	if !o.admit(ctx, w, r) {
		return
	}
	select {
	case o.writing <- struct{}{}:
	case <-ctx.Done():
		o.later(w, "another change is under way")
		return
	}
	done := make(chan *verdict, 1)
	go func() {
		defer func() { <-o.writing }()
		done <- o.settleChange(call)
	}()
	select {
	case end := <-done:
		o.answerChange(w, end)
	case <-ctx.Done():
		o.later(w, "not settled yet")
	}
}

// readCall reads a change. What is wrong with a call as such is answered here, whatever the state: a header that is no number, a
// body that is too long or was cut short.
func (o *Server) readCall(w http.ResponseWriter, r *http.Request, replace bool) (*Call, bool) {
	base, err := strconv.ParseInt(r.Header.Get(externalapi.BaseVersion), 10, 64)
	if err != nil || base < 0 {
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxConfig))
		o.fail(w, http.StatusBadRequest, externalapi.BaseVersion+": no whole number", nil)
		return nil, false
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfig))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		o.fail(w, http.StatusRequestEntityTooLarge, tooLong.Error(), nil)
		return nil, false
	case err != nil:
		o.fail(w, http.StatusBadRequest, "the body is not whole", nil)
		return nil, false
	}
	return &Call{Replace: replace, Base: base, Body: body}, true
}

// settleChange has a change judged, and proposed unless the verdict says otherwise, and gives what its caller is told. It goes
// on when its caller has left: the next change waits for its end.
func (o *Server) settleChange(call *Call) *verdict {
	wait, cancel := context.WithTimeout(context.Background(), changeWithin)
	defer cancel()
	judged := make(chan *verdict, 1)
	// What is judged and what is proposed belong together: both happen in the driver's goroutine.
	answer, err := o.ask(wait, func(now time.Duration, token uint64) replication.Output {
		if st := o.machine.Status(); st.Role != replication.Primary || !st.Ready {
			cancel() // nothing is proposed that might wait for long
			return o.machine.Tick(now)
		}
		v, out := o.record.submit(o.machine, now, token, call, routingconfig.KnownRegions(o.set.Zones))
		judged <- v
		return out
	})
	if err != nil {
		return outcome(nil, replication.Answer{})
	}
	return outcome(<-judged, answer)
}

// answerChange tells the caller of a change what became of it. What isn't certain is no clear answer: the caller sends it again.
func (o *Server) answerChange(w http.ResponseWriter, v *verdict) {
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
