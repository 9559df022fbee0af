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
	// maxConfigBytes bounds the size of a change's body in bytes.
	maxConfigBytes = 16 << 20
	// changeTimeout bounds how long a proposed change whose caller has left blocks later changes: longer than a
	// takeover, so that the outcome is usually known when the next change is evaluated.
	changeTimeout = 12 * time.Second
)

// change handles a configuration change: a complete configuration if replace is set, else an update.
func (s *Server) change(w http.ResponseWriter, r *http.Request, replace bool) error {
	command, err := readCommand(w, r, replace)
	if err != nil {
		return err
	}
	ctx, cancel := s.withContact(r.Context(), callTimeoutFor(len(command.Body)))
	defer cancel()
	if err := s.admit(ctx, r); err != nil {
		return err
	}
	select {
	case s.changeSlot <- struct{}{}:
	case <-ctx.Done():
		return unavailable("another change is under way")
	}
	// The change continues after its caller has left: the next one waits until it has finished.
	done := make(chan *verdict, 1)
	go func() {
		defer func() { <-s.changeSlot }()
		done <- s.commitChange(command)
	}()
	select {
	case v := <-done:
		return s.answerChange(w, v)
	case <-ctx.Done():
		return unavailable("not settled yet")
	}
}

// logUnanswered logs a change that gets status 503, and returns its error. The operator's client retries such a change;
// the log entry explains the delay.
func (s *Server) logUnanswered(r *http.Request, err error) error {
	var callErr *callError
	if errors.As(err, &callErr) && callErr.status == http.StatusServiceUnavailable {
		s.log.Info("configuration change answered with 503, client will retry",
			zap.String("reason", callErr.reason),
			zap.String("base", r.Header.Get(externalapi.HeaderBaseVersion)))
	}
	return err
}

// readCommand reads a change from a request. A malformed request is an error whatever the state: a header that isn't a
// number, a body that is too long or incomplete.
func readCommand(w http.ResponseWriter, r *http.Request, replace bool) (*Command, error) {
	base, err := strconv.ParseInt(r.Header.Get(externalapi.HeaderBaseVersion), 10, 64)
	if err != nil || base < 0 {
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxConfigBytes))
		return nil, &callError{
			status: http.StatusBadRequest,
			reason: externalapi.HeaderBaseVersion + ": no whole number",
		}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBytes))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return nil, &callError{status: http.StatusRequestEntityTooLarge, reason: tooLong.Error()}
	case err != nil:
		return nil, &callError{status: http.StatusBadRequest, reason: "the body is not whole"}
	}
	return &Command{Replace: replace, Base: base, Body: body}, nil
}

// commitChange evaluates a change and proposes it unless it already has a verdict. It blocks until the outcome is
// known, for changeTimeout at most, and returns the answer for the caller.
func (s *Server) commitChange(command *Command) *verdict {
	wait, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	judged := make(chan *verdict, 1)
	// Evaluation and proposal must see the same state, so both run in one input of the driver's goroutine.
	answer, err := s.submitAndWait(wait, func(now time.Duration, token uint64) replication.Output {
		if st := s.replica.Status(); st.Role != replication.Primary || !st.Ready {
			cancel() // not the primary: the proposal could stay pending for long
			return s.replica.Tick(now)
		}
		v, out := s.state.submit(s.replica, now, token, command, routingconfig.KnownRegions(s.settings.Zones))
		judged <- v
		return out
	})
	if err != nil {
		return outcome(nil, replication.Answer{})
	}
	return outcome(<-judged, answer)
}

// answerChange answers the caller of a change. If the outcome is uncertain the answer is 503, and the client retries.
func (s *Server) answerChange(w http.ResponseWriter, v *verdict) error {
	switch v.status {
	case http.StatusOK:
		w.WriteHeader(http.StatusOK)
		return nil
	case http.StatusServiceUnavailable:
		return unavailable(v.reason)
	}
	s.log.Info("configuration change rejected",
		zap.Int("status", v.status),
		zap.String("reason", v.reason),
		zap.Stringer("findings", v.findings))
	return &callError{status: v.status, reason: v.reason, findings: v.findings}
}
