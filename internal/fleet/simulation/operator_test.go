package simulation

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// serveCtl serves ctl with f until the test ends.
func serveCtl(c *qt.C, f http.HandlerFunc) (address string) {
	srv := httptest.NewServer(f)
	c.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

func TestOperatorFollowsRedirectsAndRotates(t *testing.T) {
	c := qt.New(t)
	doc := `{"ver":7,"routing":[]}`
	primary := serveCtl(c, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if string(body) != doc || r.Header.Get(HeaderBaseVersion) != "5" || r.URL.Path != PathReplace {
			w.WriteHeader(http.StatusBadRequest)
		}
	})
	to := func(address string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Location", "http://"+address+r.URL.Path)
			w.WriteHeader(http.StatusTemporaryRedirect)
		}
	}
	status := func(n int) http.HandlerFunc { return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(n) } }
	one := serveCtl(c, to(primary))
	two := serveCtl(c, to(one))
	three := serveCtl(c, to(two)) // a third 307 is not followed
	unresponsive := serveCtl(c, func(_ http.ResponseWriter, r *http.Request) {
		io.ReadAll(r.Body)
		<-r.Context().Done()
	})
	op := &Operator{
		Ctl:     []string{serveCtl(c, status(503)), serveCtl(c, status(429)), unresponsive, three, two},
		Timeout: time.Second,
		Backoff: time.Millisecond,
	}
	rep, err := op.Replace(c.Context(), 5, []byte(doc))
	c.Assert(err, qt.IsNil)
	c.Assert([]any{rep.Status, rep.Version, rep.Attempts}, qt.DeepEquals, []any{200, uint64(7), 5})
	c.Assert(rep.From, qt.Equals, "http://"+primary+PathReplace)
}

func TestOperatorEnds(t *testing.T) {
	c := qt.New(t)
	for _, tc := range []struct{ status, tries int }{{400, 1}, {409, 1}, {412, 1}, {413, 1}, {422, 1}, {404, 3}} {
		ctl := serveCtl(c, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(tc.status) })
		op := &Operator{Backoff: time.Millisecond, Ctl: []string{ctl}}
		rep, err := op.Update(c.Context(), 1, map[string]any{"ver": 2})
		c.Assert(err, qt.IsNil)
		c.Assert([]int{rep.Status, rep.Attempts}, qt.DeepEquals, []int{tc.status, tc.tries})
	}
	ctl := serveCtl(c, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, `{"ver":9}`) })
	show := &Operator{Ctl: []string{ctl}}
	rep, err := show.Show(c.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(rep.Version, qt.Equals, uint64(9))
}
