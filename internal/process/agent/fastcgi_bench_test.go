package agent

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	stdfcgi "net/http/fcgi"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"molepaddle/internal/process/operator"
	"molepaddle/internal/rig/testkit"
)

// BenchmarkFastCGI compares, over loopback: HTTP to HTTP and FastCGI to FastCGI through the agent, and the standard
// library's FastCGI server without an agent, over persistent connections, one per client or one shared by all.
func BenchmarkFastCGI(b *testing.B) {
	for _, size := range []int{300, 1 << 20} {
		body := []byte(strings.Repeat("x", size))
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			w.Write(body)
		})
		listen := func(serve func(net.Listener)) net.Listener {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { ln.Close() })
			if serve != nil {
				go serve(ln)
			}
			return ln
		}
		agent := func(fast bool, server string) (string, string) {
			oper, web := operator.Default(), listen(nil)
			if fast {
				oper.Transport.FastCGI.Servers = []string{"all"}
			}
			oper.Front.FastCGI.Listen = []operator.Listen{{Address: web.Addr().String()}}
			oper.Front.FastCGI.Connections, oper.Front.FastCGI.Requests = 70, 64
			c := testkit.Config(unusedRegistry, server)
			c["settings"].(map[string]any)["roundMs"] = 1
			c["limits"].(map[string]any)["memory_mb"] = 512
			a, err := New(parse(b, c), oper, Network{FastCGI: []net.Listener{web}}, slog.New(slog.DiscardHandler))
			if err != nil {
				b.Fatal(err)
			}
			ln := listen(nil)
			go a.Serve(b.Context(), ln)
			b.Cleanup(func() { a.Close() })
			return ln.Addr().String(), web.Addr().String()
		}
		std := listen(func(ln net.Listener) { stdfcgi.Serve(ln, handler) }).Addr().String()
		plain, _ := agent(false, listen(func(ln net.Listener) { http.Serve(ln, handler) }).Addr().String())
		_, fast := agent(true, std)
		for _, clients := range []int{1, 16, 64} {
			for _, way := range []struct {
				name   string
				addr   string
				shared bool
				http   bool
			}{{"http-http", plain, false, true}, {"fcgi-fcgi", fast, false, false}, {"fcgi-fcgi-shared", fast, true, false}, {"net-http-fcgi", std, false, false}} {
				b.Run(fmt.Sprintf("%d/%d/%s", size, clients, way.name), func(b *testing.B) {
					var took []time.Duration
					if way.http {
						get := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
						took = each(b, clients, func(int) error {
							resp, err := get.Do(testkit.Call("http://"+way.addr, "look"))
							if err != nil {
								return err
							}
							defer resp.Body.Close()
							if n, err := io.Copy(io.Discard, resp.Body); n != int64(size) || resp.StatusCode != 200 {
								return fmt.Errorf("%d, %d bytes, %v", resp.StatusCode, n, err)
							}
							return nil
						})
					} else {
						conns := clients
						if way.shared {
							conns = 1
						}
						var webs []*web
						for range conns {
							webs = append(webs, newWeb(b, way.addr))
						}
						took = each(b, clients, func(i int) error { return webs[i%conns].get(uint16(i+1), size) })
					}
					slices.Sort(took)
					b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
					b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
					b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
				})
			}
		}
	}
}

// each lets the clients send b.N requests in total.
func each(b *testing.B, clients int, ask func(client int) error) (took []time.Duration) {
	var left atomic.Int64
	left.Store(int64(b.N))
	var mu sync.Mutex
	var wg sync.WaitGroup
	b.ResetTimer()
	for i := range clients {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				began := time.Now()
				if err := ask(i); err != nil {
					b.Error(err)
					return
				}
				mu.Lock()
				took = append(took, time.Since(began))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	return took
}

// web is a web server's connection that carries concurrent requests.
type web struct {
	*testkit.Web
	mu   sync.Mutex
	wait [256]chan int // by id
}

func newWeb(b *testing.B, addr string) *web {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { c.Close() })
	w := &web{Web: testkit.NewWeb(c)}
	_ = c.SetDeadline(time.Time{})
	for i := range w.wait {
		w.wait[i] = make(chan int, 1)
	}
	go func() {
		for {
			id, text, _, err := w.Next()
			if err != nil {
				return
			}
			w.wait[id] <- len(text) - strings.Index(text, "\r\n\r\n") - 4
		}
	}()
	return w
}

func (w *web) get(id uint16, size int) error {
	out := testkit.FastComplete(id, map[string]string{"REQUEST_METHOD": "GET", "REQUEST_URI": "/look/u1", "HTTP_HOST": "b", "SERVER_PROTOCOL": "HTTP/1.1"}, "")
	w.mu.Lock()
	_, err := w.Write(out)
	w.mu.Unlock()
	if err != nil {
		return err
	}
	select {
	case n := <-w.wait[id]:
		if n != size {
			return fmt.Errorf("%d bytes of %d", n, size)
		}
		return nil
	case <-time.After(20 * time.Second):
		return fmt.Errorf("no answer")
	}
}
