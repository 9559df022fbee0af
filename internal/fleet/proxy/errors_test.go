package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/puzpuzpuz/xsync/v4"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/residency"
	"molepaddle/policy"
)

// TestWriteError checks how errors are written to a client: the status, the body, Retry-After, and whether the
// connection is closed.
func TestWriteError(t *testing.T) {
	for _, one := range []struct {
		name       string
		err        error
		status     int
		body       string
		retryAfter string
		connection string
	}{
		{
			name:   "rejection",
			err:    &rejection{status: http.StatusNotFound, reason: "no route"},
			status: http.StatusNotFound,
			body:   "no route\n",
		},
		{
			name:       "advice",
			err:        &rejection{status: http.StatusServiceUnavailable, retryAfter: 50 * time.Millisecond, reason: "later"},
			status:     http.StatusServiceUnavailable,
			body:       "later\n",
			retryAfter: "0.050",
		},
		{
			name:       "body unread",
			err:        &rejection{status: http.StatusRequestTimeout, reason: "body", closeConn: true},
			status:     http.StatusRequestTimeout,
			body:       "body\n",
			connection: "close",
		},
		{
			name:   "wrapped",
			err:    errors.Wrap(&rejection{status: http.StatusNotFound, reason: "no route"}, "admit"),
			status: http.StatusNotFound,
			body:   "no route\n",
		},
		{
			name:   "any other",
			err:    errors.New("surprise"),
			status: http.StatusInternalServerError,
			body:   "surprise\n",
		},
	} {
		t.Run(one.name, func(t *testing.T) {
			c := qt.New(t)
			p := &Proxy{answersByStatus: xsync.NewMap[int, *xsync.Counter]()}
			w := httptest.NewRecorder()
			p.writeError(w, one.err)
			c.Check(w.Code, qt.Equals, one.status)
			c.Check(w.Body.String(), qt.Equals, one.body)
			c.Check(w.Header().Get(externalapi.HeaderRetryAfter), qt.Equals, one.retryAfter)
			c.Check(w.Header().Get("Connection"), qt.Equals, one.connection)
			counter, ok := p.answersByStatus.Load(one.status)
			c.Assert(ok, qt.IsTrue)
			c.Check(counter.Value(), qt.Equals, int64(1))
		})
	}
}

// TestRejectionAfterAttempts ends requests without a response from a backend: only if no backend may have run it, the
// status lets the client send the request again.
func TestRejectionAfterAttempts(t *testing.T) {
	for _, one := range []struct {
		name       string
		mayHaveRun bool
		left       time.Duration
		advice     time.Duration
		status     int
		retryAfter time.Duration
	}{
		{name: "not run", left: time.Second, status: http.StatusServiceUnavailable, retryAfter: minRetryAfter},
		{name: "not run, late", left: -time.Second, status: http.StatusServiceUnavailable, retryAfter: minRetryAfter},
		{
			name:       "not run, with advice",
			left:       time.Second,
			advice:     time.Minute,
			status:     http.StatusServiceUnavailable,
			retryAfter: time.Minute,
		},
		{name: "may have run", mayHaveRun: true, left: time.Second, status: http.StatusBadGateway},
		{name: "may have run, late", mayHaveRun: true, left: -time.Second, status: http.StatusGatewayTimeout},
	} {
		t.Run(one.name, func(t *testing.T) {
			c := qt.New(t)
			p := &Proxy{}
			cr := &clientRequest{
				proxy:          p,
				residencyCheck: residencyCheck{latest: &p.snapshot},
				mayHaveRun:     one.mayHaveRun,
				deadline:       time.Now().Add(one.left),
				retryAfter:     one.advice,
			}
			got := cr.rejectionFor(attemptFailure(errUnrelatedAnswer))
			c.Check(got.status, qt.Equals, one.status)
			c.Check(got.retryAfter, qt.Equals, one.retryAfter)
			c.Check(got.reason, qt.Equals, "backend: "+errUnrelatedAnswer.Error())
			c.Check(impliesNotRun(got.status), qt.Equals, !one.mayHaveRun)
		})
	}
	c := qt.New(t)
	c.Check(attemptFailure(errBackendFull).Error(), qt.Equals, "backends are full")
}

// TestAttemptStatus checks the classification of attempt outcomes.
func TestAttemptStatus(t *testing.T) {
	for _, one := range []struct {
		err   error
		wrote bool
		want  policy.Status
	}{
		{nil, true, policy.OK},
		{errClientGone, true, policy.Cancelled},
		{errResidencyWithdrawn, true, policy.Cancelled},
		{residency.ErrOutside, false, policy.Cancelled},
		{errors.Wrap(errAnswerTimeout, "answer"), true, policy.Timeout},
		{context.DeadlineExceeded, false, policy.Timeout},
		{errConnect, false, policy.ConnectFailed},
		{errConnect, true, policy.Reset},
		{errIncompleteAnswer, true, policy.Reset},
	} {
		qt.Check(t, attemptStatus(one.wrote, one.err), qt.Equals, one.want, qt.Commentf("%v, %v", one.err, one.wrote))
	}
}
