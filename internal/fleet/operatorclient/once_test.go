package operatorclient_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/operatorclient"
	"molepaddle/internal/rig/testkit"
)

// startScriptedServer reads requests and says to the nth of a connection, from 0, what says gives, until that is to be its last.
func startScriptedServer(t *testing.T, asked *atomic.Int64, says func(n int) (answer string, last bool)) string {
	return testkit.Raw(t, func(c net.Conn, r *bufio.Reader) {
		for n := 0; ; n++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			asked.Add(1)
			answer, last := says(n)
			if _, err := io.WriteString(c, answer); err != nil || last {
				return
			}
		}
	})
}

// startTruncatingServer says so much and closes.
func startTruncatingServer(t *testing.T, asked *atomic.Int64, said string) string {
	return startScriptedServer(t, asked, func(int) (string, bool) { return said, true })
}

// TestTruncatedResponses cuts an agent's answer off after each of its bytes: it is no answer, whatever it began with; that agent is asked
// once, by nothing but the client's own doing, and the next one's answer counts.
func TestTruncatedResponses(t *testing.T) {
	const good, yes, no = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes",
		"HTTP/1.1 412 x\r\nContent-Length: 2\r\n\r\nno"
	for _, answer := range []string{yes, no} {
		for k := range len(answer) {
			for _, change := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d bytes of %.12s, change %v", k, answer, change), func(t *testing.T) {
					t.Parallel()
					c := qt.New(t)
					var bad, well atomic.Int64
					client := operatorclient.Client{Endpoints: []string{startTruncatingServer(t, &bad, answer[:k]), startTruncatingServer(t, &well, good)}, ReadTimeout: time.Minute, CallTimeout: time.Minute}
					var got operatorclient.Response
					var err error
					if change {
						got, err = client.Change(t.Context(), externalapi.CallReplace, 1, []byte("{}"))
					} else {
						got, err = client.Show(t.Context())
					}
					c.Assert(err, qt.IsNil)
					c.Check(string(got.Body), qt.Equals, "good")
					c.Check(bad.Load(), qt.Equals, int64(1))
					c.Check(well.Load(), qt.Equals, int64(1))
				})
			}
		}
	}
}

// TestSurplusResponsesAreIgnored: each try has a connection of its own, so that a second answer to an earlier one, in the place
// of the next one's, is nobody's.
func TestSurplusResponsesAreIgnored(t *testing.T) {
	c := qt.New(t)
	var asked atomic.Int64
	at := startScriptedServer(t, &asked, func(n int) (string, bool) {
		if n == 0 {
			return "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", false
		}
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false
	})
	client := operatorclient.Client{Endpoints: []string{at}, ReadTimeout: time.Minute, CallTimeout: 400 * time.Millisecond}
	_, err := client.Change(t.Context(), externalapi.CallReplace, 1, []byte("{}"))
	var unclear *operatorclient.IndeterminateError
	c.Assert(errors.As(err, &unclear), qt.IsTrue, qt.Commentf("%v", err))
	c.Check(asked.Load() >= 2, qt.IsTrue, qt.Commentf("asked %d times", asked.Load()))
}
