package controlplane

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/externalapi"
)

// sendChange sends a change with the given body to a server and returns the response.
func sendChange(ctx context.Context, server *Server, c *Command, body io.Reader) *httptest.ResponseRecorder {
	target := externalapi.CallUpdate
	if c.Replace {
		target = externalapi.CallReplace
	}
	r := httptest.NewRequestWithContext(ctx, target.Method, target.Path, body)
	r.Header.Set(externalapi.HeaderBaseVersion, strconv.FormatInt(c.Base, 10))
	w := httptest.NewRecorder()
	server.handler().ServeHTTP(w, r)
	return w
}

// TestChangeIsAnswered checks the response of a primary to each kind of change.
func TestChangeIsAnswered(t *testing.T) {
	c := qt.New(t)
	server := newSoloServer(c)
	first, second := replaceCommand(0, "5", "a"), updateCommand(5, 7)
	for _, tc := range []struct {
		name   string
		call   *Command
		want   int
		reason string
	}{
		{"ahead of the first", second, http.StatusServiceUnavailable, "version 0 is in place; version 5 is not known yet"},
		{"the first", first, http.StatusOK, ""},
		{"the next", second, http.StatusOK, ""},
		{"the first again", first, http.StatusOK, ""},
		{"another on its base", replaceCommand(0, "5", "b"), http.StatusPreconditionFailed, "version 7 is in place"},
		{"an invalid one", updateCommand(7, 7), http.StatusBadRequest, "the configuration is invalid"},
		{"ahead", updateCommand(8, 9), http.StatusServiceUnavailable, "version 7 is in place; version 8 is not known yet"},
	} {
		w := sendChange(c.Context(), server, tc.call, bytes.NewReader(tc.call.Body))
		c.Check(w.Code, qt.Equals, tc.want, qt.Commentf("%s: %s", tc.name, w.Body))
		c.Check(strings.Contains(w.Body.String(), tc.reason), qt.IsTrue, qt.Commentf("%s: %s", tc.name, w.Body))
		retry := w.Header().Get(externalapi.HeaderRetryAfter) != ""
		c.Check(retry, qt.Equals, tc.want == http.StatusServiceUnavailable, qt.Commentf("%s", tc.name))
	}
}

// TestIncompleteBody checks that a truncated body is rejected as malformed whatever the state, as such a change can't
// have been accepted.
func TestIncompleteBody(t *testing.T) {
	c := qt.New(t)
	server := newSoloServer(c)
	first := replaceCommand(0, "5", "a")
	c.Assert(sendChange(c.Context(), server, first, bytes.NewReader(first.Body)).Code, qt.Equals, http.StatusOK)
	cut := io.MultiReader(bytes.NewReader(first.Body[:9]), iotest.ErrReader(errors.New("reset")))
	w := sendChange(c.Context(), server, first, cut)
	c.Check(w.Code, qt.Equals, http.StatusBadRequest)
	c.Check(w.Body.String(), qt.Contains, "the body is not whole")
}

// TestConcurrentDuplicateChanges checks that a change that is submitted many times at once, and whose first caller
// leaves, is accepted once and acknowledged to every caller.
func TestConcurrentDuplicateChanges(t *testing.T) {
	c := qt.New(t)
	server := newSoloServer(c)
	first := replaceCommand(0, "5", "a")
	left, leave := context.WithCancel(c.Context())
	leave()
	code := sendChange(left, server, first, bytes.NewReader(first.Body)).Code
	c.Check(code == http.StatusOK || code == http.StatusServiceUnavailable, qt.IsTrue, qt.Commentf("%d", code))
	const callers = 8
	var codes [callers]int
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() { codes[i] = sendChange(c.Context(), server, first, bytes.NewReader(first.Body)).Code })
	}
	all.Wait()
	for _, code := range codes {
		c.Check(code, qt.Equals, http.StatusOK)
	}
	c.Check(server.committed.Load().doc.Version(), qt.Equals, int64(5))
	c.Check(server.committed.Load().seq, qt.Equals, uint64(1))
}
