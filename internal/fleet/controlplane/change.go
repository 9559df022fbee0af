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
	// maxConfigBytes bounds a configuration, in bytes.
	maxConfigBytes = 16 << 20
	// changeTimeout is how long a change that was proposed keeps others from being judged, after its caller has left.
	changeTimeout = 12 * time.Second
)

// applyTo answers a change of the configuration.
func (s *Server) change(w http.ResponseWriter, r *http.Request, replace bool) {
	call, ok := s.readCommand(w, r, replace)
	if !ok {
		return
	}
	ctx, cancel := s.withContact(r.Context(), callTimeoutFor(len(call.Body)))
	defer cancel()
	if !s.admit(ctx, w, r) {
		return
	}
	select {
	case s.changeSlot <- struct{}{}:
	case <-ctx.Done():
		s.unavailable(w, "another change is under way")
		return
	}
	done := make(chan *verdict, 1)
	go func() {
		defer func() { <-s.changeSlot }()
		done <- s.commitChange(call)
	}()
	select {
	case end := <-done:
		s.answerChange(w, end)
	case <-ctx.Done():
		s.unavailable(w, "not settled yet")
	}
}

// readCommand reads a change. What is wrong with a call as such is answered here, whatever the state: a header that is no number, a
// body that is too long or was cut short.
func (s *Server) readCommand(w http.ResponseWriter, r *http.Request, replace bool) (*Command, bool) {
	base, err := strconv.ParseInt(r.Header.Get(externalapi.HeaderBaseVersion), 10, 64)
	if err != nil || base < 0 {
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxConfigBytes))
		s.writeError(w, http.StatusBadRequest, externalapi.HeaderBaseVersion+": no whole number", nil)
		return nil, false
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBytes))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		s.writeError(w, http.StatusRequestEntityTooLarge, tooLong.Error(), nil)
		return nil, false
	case err != nil:
		s.writeError(w, http.StatusBadRequest, "the body is not whole", nil)
		return nil, false
	}
	return &Command{Replace: replace, Base: base, Body: body}, true
}

// commitChange has a change judged, and proposed unless the verdict says otherwise, and gives what its caller is told. It goes
// on when its caller has left: the next change waits for its end.
func (s *Server) commitChange(call *Command) *verdict {
	wait, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	judged := make(chan *verdict, 1)
	// What is judged and what is proposed belong together: both happen in the driver's goroutine.
	answer, err := s.submitAndWait(wait, func(now time.Duration, token uint64) replication.Output {
		if st := s.replica.Status(); st.Role != replication.Primary || !st.Ready {
			cancel() // nothing is proposed that might wait for long
			return s.replica.Tick(now)
		}
		v, out := s.state.submit(s.replica, now, token, call, routingconfig.KnownRegions(s.settings.Zones))
		judged <- v
		return out
	})
	if err != nil {
		return outcome(nil, replication.Answer{})
	}
	return outcome(<-judged, answer)
}

// answerChange tells the caller of a change what became of it. What isn't certain is no clear answer: the caller sends it again.
func (s *Server) answerChange(w http.ResponseWriter, v *verdict) {
	switch v.status {
	case http.StatusOK:
		w.WriteHeader(http.StatusOK)
	case http.StatusServiceUnavailable:
		s.unavailable(w, v.reason)
	default:
		s.log.Info("change refused", zap.Int("status", v.status), zap.String("why", v.reason), zap.Stringer("findings", v.findings))
		s.writeError(w, v.status, v.reason, v.findings)
	}
}
