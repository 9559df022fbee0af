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

// startScriptedServer starts a server that answers the nth request of a connection, from 0, with the bytes that respond
// returns, and closes the connection after the last answer. It counts the requests in asked and returns its host:port.
func startScriptedServer(t *testing.T, asked *atomic.Int64, respond func(n int) (answer string, last bool)) string {
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
			answer, last := respond(n)
			if _, err := io.WriteString(c, answer); err != nil || last {
				return
			}
		}
	})
}

// startTruncatingServer starts a server that writes the given response bytes and closes the connection.
func startTruncatingServer(t *testing.T, asked *atomic.Int64, response string) string {
	return startScriptedServer(t, asked, func(int) (string, bool) { return response, true })
}

// TestTruncatedResponses cuts a server's response off after each of its bytes: the client doesn't use it, whatever its
// status line; it sends that server one request, without a retry by net/http, and uses the next server's response.
func TestTruncatedResponses(t *testing.T) {
	const (
		good = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
		yes  = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes"
		no   = "HTTP/1.1 412 x\r\nContent-Length: 2\r\n\r\nno"
	)
	for _, answer := range []string{yes, no} {
		for k := range len(answer) {
			for _, change := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d bytes of %.12s, change %v", k, answer, change), func(t *testing.T) {
					t.Parallel()
					c := qt.New(t)
					var bad, well atomic.Int64
					client := operatorclient.Client{
						Endpoints: []string{
							startTruncatingServer(t, &bad, answer[:k]),
							startTruncatingServer(t, &well, good),
						},
						ReadTimeout: time.Minute,
						CallTimeout: time.Minute,
					}
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

// TestSurplusResponsesAreIgnored: each attempt uses a new connection, so that a second response to an earlier attempt
// is not mistaken for the response to the next one.
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
