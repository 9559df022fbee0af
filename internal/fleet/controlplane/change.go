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
	// maxConfigBytes bounds a configuration.
	maxConfigBytes = 16 << 20
	// changeTimeout is how long a proposed change keeps others from being judged after its caller has left: longer
	// than a takeover, so that the next change mostly finds its fate decided.
	changeTimeout = 12 * time.Second
)

// change answers a change of the configuration.
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
	// The change goes on when its caller has left: the next one waits for its end.
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

// logUnanswered logs a change that gets 503, and returns its error: the operator sends it again, but who reads the log
// has to see why it took long.
func (s *Server) logUnanswered(r *http.Request, err error) error {
	var refused *callError
	if errors.As(err, &refused) && refused.status == http.StatusServiceUnavailable {
		s.log.Info("change got no clear answer",
			zap.String("reason", refused.reason),
			zap.String("base", r.Header.Get(externalapi.HeaderBaseVersion)))
	}
	return err
}

// readCommand reads a change. What is wrong with a call as such is an error whatever the state: a header that is no
// number, a body that is too long or was cut short.
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

// commitChange has a change judged, and proposed unless the verdict says otherwise. It blocks until its fate is known,
// changeTimeout at most, and returns what its caller is answered.
func (s *Server) commitChange(command *Command) *verdict {
	wait, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	judged := make(chan *verdict, 1)
	// What is judged and what is proposed belong together: both happen in the driver's goroutine.
	answer, err := s.submitAndWait(wait, func(now time.Duration, token uint64) replication.Output {
		if st := s.replica.Status(); st.Role != replication.Primary || !st.Ready {
			cancel() // nothing is proposed that might wait for long
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

// answerChange tells the caller of a change what became of it. What isn't certain is no clear answer: the caller
// sends it again.
func (s *Server) answerChange(w http.ResponseWriter, v *verdict) error {
	switch v.status {
	case http.StatusOK:
		w.WriteHeader(http.StatusOK)
		return nil
	case http.StatusServiceUnavailable:
		return unavailable(v.reason)
	}
	s.log.Info("change refused",
		zap.Int("status", v.status),
		zap.String("reason", v.reason),
		zap.Stringer("findings", v.findings))
	return &callError{status: v.status, reason: v.reason, findings: v.findings}
}
