package agent

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"testing"

	"molepaddle/internal/process/operator"
	"molepaddle/internal/protocol/fcgi"
	"molepaddle/internal/rig/testkit"
)

// fault is how a server responds to a complete request.
type fault struct {
	name   string
	status int    // status of the answer; 0: none
	header string // header lines of the answer
	cut    int    // bytes missing from the end of the answer before the connection closes
	silent bool   // the connection closes without an answer
}

// serveFaults answers the requests of a connection, over FastCGI or HTTP, as do says for each id.
func serveFaults(conn net.Conn, r *bufio.Reader, fast bool, do func(id string) fault) {
	for {
		id, out := "", []byte(nil)
		if fast {
			params, _, err := testkit.FastRequest(r)
			if err != nil {
				return
			}
			id = params["HTTP_REQUEST_ID"]
		} else {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			id = req.Header.Get("Request-Id")
		}
		f := do(id)
		if f.silent {
			return
		}
		head := fmt.Sprintf("%d %s\r\n%sContent-Length: 4\r\n\r\ndone", f.status, http.StatusText(f.status), f.header)
		if fast {
			out = testkit.FastAnswer("Status: "+head, fcgi.End{})
		} else {
			out = []byte("HTTP/1.1 " + head)
		}
		if _, err := conn.Write(out[:len(out)-f.cut]); err != nil || f.cut > 0 {
			return
		}
	}
}

// fastCGICall sends a request over FastCGI on a connection of its own and returns the HTTP status and body.
func fastCGICall(addr, class, id string, body []byte) (status int, text string, err error) {
	c, err := testkit.Dial("tcp", addr)
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	web, method := testkit.NewWeb(c), map[bool]string{true: "GET", false: "POST"}[class == "look"]
	web.Write(testkit.FastComplete(1, map[string]string{"REQUEST_METHOD": method, "REQUEST_URI": "/" + class + "/u1", "HTTP_HOST": "b", "HTTP_REQUEST_ID": id,
		"CONTENT_LENGTH": strconv.Itoa(len(body)), "HTTP_IDEMPOTENCY_KEY": "k" + id}, string(body)))
	_, stdout, end, err := web.Next()
	if err != nil || end != (fcgi.End{}) {
		return 0, "", fmt.Errorf("ended with %+v, %v", end, err)
	}
	r := bufio.NewReader(strings.NewReader(stdout))
	head, err := textproto.NewReader(r).ReadMIMEHeader()
	if err != nil {
		return 0, "", err
	}
	status, err = strconv.Atoi(strings.Fields(head.Get("Status"))[0])
	rest, _ := io.ReadAll(r)
	return status, string(rest), err
}

// The same faults over all four pairs of protocols lead to the same final answers, and no order that may have run
// is sent twice.
func TestFaultsOverAllPairs(t *testing.T) {
	faults := []fault{{name: "served", status: 200}, {name: "error", status: 500}, {name: "may have run", status: 503},
		{name: "turned away", status: 503, header: "Not-Started: 1\r\n"}, {name: "closes", silent: true}}
	for cut := 1; cut < 40; cut += 5 {
		faults = append(faults, fault{name: fmt.Sprint("cut by ", cut), status: 200, cut: cut})
	}
	type end struct {
		status   int
		text     string
		attempts int
	}
	ends := map[string]end{} // results of HTTP to HTTP, by fault and class
	for _, pair := range []struct{ in, out bool }{{false, false}, {false, true}, {true, false}, {true, true}} {
		for i := range 3 * len(faults) { // a new agent for each class: earlier faults must not affect it
			f, class := faults[i/3], []string{"look", "send", "order"}[i%3]
			var mu sync.Mutex
			came := map[string]int{}
			var addrs []string
			for range 5 {
				addrs = append(addrs, testkit.Raw(t, func(conn net.Conn, r *bufio.Reader) {
					serveFaults(conn, r, pair.out, func(id string) fault {
						mu.Lock()
						defer mu.Unlock()
						came[id]++
						return f
					})
				}))
			}
			oper := operator.Default()
			if pair.out {
				oper.Transport.FastCGI.Servers = []string{"127.0.0.0/8"}
			}
			var network Network
			if pair.in {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				oper.Front.FastCGI.Listen = []operator.Listen{{Address: ln.Addr().String()}}
				network.FastCGI = []net.Listener{ln}
			}
			a, err := New(parse(t, testkit.Config(unusedRegistry, addrs...)), oper, network, slog.New(slog.DiscardHandler))
			if err != nil {
				t.Fatal(err)
			}
			base, _, _ := serveOn(t, a)
			call := testkit.Call(base, class)
			id := call.Header.Get("Request-Id")
			var got end
			if pair.in {
				var body []byte
				if class != "look" {
					body = []byte("body")
				}
				if got.status, got.text, err = fastCGICall(network.FastCGI[0].Addr().String(), class, id, body); err != nil {
					t.Fatalf("%s, %s: %v", f.name, class, err)
				}
			} else {
				got.status, got.text, _ = testkit.Do(t, call)
			}
			mu.Lock()
			got.attempts = came[id]
			mu.Unlock()
			name := f.name + ", " + class
			if class == "order" && got.attempts > 1 && f.header == "" {
				t.Errorf("%s: sent %d times", name, got.attempts)
			}
			if want, known := ends[name]; !known {
				ends[name] = got
			} else if got != want {
				t.Errorf("%s over %+v: %+v, over HTTP %+v", name, pair, got, want)
			}
			a.Close()
		}
	}
	if len(ends) != 3*len(faults) || ends["served, order"].status != 200 || ends["closes, order"].status != 502 || ends["turned away, order"].attempts != 3 {
		t.Errorf("%+v", ends)
	}
}

// A long answer of another length than its Content-Length ends as an error, also after its start was forwarded.
func TestLongAnswerWithWrongLength(t *testing.T) {
	for _, sent := range []int{90_000, 100_000, 110_000} {
		addr := testkit.Raw(t, func(conn net.Conn, r *bufio.Reader) {
			if _, _, err := testkit.FastRequest(r); err != nil {
				return
			}
			out := fcgi.AppendStream(nil, fcgi.Stdout, 1, []byte("Content-Length: 100000\r\n\r\n"+strings.Repeat("x", sent)))
			conn.Write(fcgi.AppendEnd(out, 1, fcgi.End{}))
			r.ReadByte()
		})
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		oper := operator.Default()
		oper.Front.FastCGI.Listen = []operator.Listen{{Address: ln.Addr().String()}}
		oper.Transport.FastCGI.Servers = []string{"all"}
		a, err := New(parse(t, testkit.Config(unusedRegistry, addr)), oper, Network{FastCGI: []net.Listener{ln}}, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		serveOn(t, a)
		if status, text, err := fastCGICall(ln.Addr().String(), "order", "id1", nil); (err == nil) != (sent == 100_000) || err == nil && (status != 200 || len(text) != sent) {
			t.Errorf("%d sent: %d, %d bytes, %v", sent, status, len(text), err)
		}
	}
}

// A FastCGI abort counts as a disconnected client: the attempt at the server ends, over either protocol.
func TestAbortReachesTheServer(t *testing.T) {
	for _, fast := range []bool{false, true} {
		got, ended := make(chan struct{}), make(chan struct{})
		addr := testkit.Raw(t, func(c net.Conn, r *bufio.Reader) {
			if fast {
				if _, _, err := testkit.FastRequest(r); err != nil {
					return
				}
			} else if _, err := testkit.ReadRequest(r); err != nil {
				return
			}
			close(got)
			for { // padding may still come
				if _, err := r.ReadByte(); err != nil {
					break
				}
			}
			close(ended)
		})
		ln, err := net.Listen("unix", t.TempDir()+"/s")
		if err != nil {
			t.Fatal(err)
		}
		oper := operator.Default()
		oper.Front.FastCGI.Listen = []operator.Listen{{Unix: ln.Addr().String()}}
		if fast {
			oper.Transport.FastCGI.Servers = []string{"all"}
		}
		a, err := New(parse(t, testkit.Config(unusedRegistry, addr)), oper, Network{FastCGI: []net.Listener{ln}}, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		serveOn(t, a)
		c, err := testkit.Dial("unix", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		out := testkit.FastComplete(1, map[string]string{"REQUEST_METHOD": "POST", "REQUEST_URI": "/order/u1", "SERVER_NAME": "b"}, "")
		c.Write(out)
		<-got
		c.Write(fcgi.Append(nil, fcgi.AbortRequest, 1, nil))
		<-ended
		if h, err := fcgi.NewReader(bufio.NewReader(c)).Next(); err != nil || h.Type != fcgi.EndRequest || h.ID != 1 {
			t.Errorf("%+v, %v", h, err)
		}
	}
}
