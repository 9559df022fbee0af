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
	done := make(chan outcome, 1)
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

// outcome is the end of a change: a verdict without a proposal, or the answer to the proposal.
type outcome struct {
	verdict *verdict // nil: it was proposed
	answer  replication.Answer
	err     error // no answer came
}

// settleChange has a change judged, and proposed unless the verdict says otherwise. It goes on when its caller has left: the
// next change waits for its end.
func (o *Server) settleChange(call *Call) outcome {
	wait, cancel := context.WithTimeout(context.Background(), changeWithin)
	defer cancel()
	judged := make(chan *verdict, 1)
	var end outcome
	// What is judged and what is proposed belong together: both happen in the driver's goroutine.
	end.answer, end.err = o.ask(wait, func(now time.Duration, token uint64) replication.Output {
		if st := o.machine.Status(); st.Role != replication.Primary || !st.Ready {
			cancel() // nothing is proposed that might wait for long
			return o.machine.Tick(now)
		}
		if v := o.record.judge(call, routingconfig.KnownRegions(o.set.Zones)); v != nil {
			judged <- v
			return o.machine.Read(now, token)
		}
		b, _ := call.MarshalMsg(nil) // it has no way to fail
		return o.machine.Propose(now, token, b)
	})
	select {
	case end.verdict = <-judged:
	default:
	}
	return end
}

// answerChange tells the end of a change. What isn't certain is no clear answer: the caller sends it again.
func (o *Server) answerChange(w http.ResponseWriter, end outcome) {
	v := end.verdict
	switch {
	case end.err != nil:
		o.later(w, "not settled")
	case v == nil && end.answer.Result == replication.Committed:
		w.WriteHeader(http.StatusOK)
	case v == nil || !v.holds(end.answer):
		o.later(w, "not settled")
	case v.status == http.StatusOK:
		w.WriteHeader(http.StatusOK)
	default:
		o.log.Info("change refused", zap.Int("status", v.status), zap.String("why", v.why), zap.Stringer("findings", v.found))
		o.fail(w, v.status, v.why, v.found)
	}
}
