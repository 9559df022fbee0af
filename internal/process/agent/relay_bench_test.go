package agent

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"molepaddle/internal/process/operator"
	"molepaddle/internal/rig/testkit"
)

// BenchmarkRelay compares a server over loopback directly, through httputil.ReverseProxy and through the agent:
// requests per second, latency at the median and the 99th percentile, the latency added to that of the direct
// path, and allocations per request of client, relay and server together.
func BenchmarkRelay(b *testing.B) {
	body := []byte(strings.Repeat("x", 200))
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Write(body)
	})}
	listen := func(s *http.Server) string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		go s.Serve(ln)
		b.Cleanup(func() { s.Close() })
		return ln.Addr().String()
	}
	direct := listen(server)
	target, _ := url.Parse("http://" + direct)
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	proxied := listen(&http.Server{Handler: proxy})
	c := testkit.Config(unusedRegistry, direct)
	set := c["settings"].(map[string]any)
	set["roundMs"] = 1
	c["limits"].(map[string]any)["memory_mb"] = 512
	a, err := New(parse(b, c), operator.Default(), Network{}, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go a.Serve(b.Context(), ln)
	b.Cleanup(func() { a.Close() })

	for _, clients := range []int{1, 16, 64} {
		var base [2]time.Duration
		for _, way := range []struct{ name, addr string }{{"direct", direct}, {"proxy", proxied}, {"agent", ln.Addr().String()}} {
			b.Run(fmt.Sprintf("%s/%d", way.name, clients), func(b *testing.B) {
				ask(b, way.addr, clients, 20*clients) // warm-up
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				b.ResetTimer()
				took := ask(b, way.addr, clients, b.N)
				b.StopTimer()
				runtime.ReadMemStats(&after)
				slices.Sort(took)
				p50, p99 := took[len(took)/2], took[len(took)*99/100]
				if way.name == "direct" {
					base = [2]time.Duration{p50, p99}
				}
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
				b.ReportMetric(float64(p50.Microseconds()), "p50-us")
				b.ReportMetric(float64(p99.Microseconds()), "p99-us")
				b.ReportMetric(float64((p50 - base[0]).Microseconds()), "added-p50-us")
				b.ReportMetric(float64((p99 - base[1]).Microseconds()), "added-p99-us")
				b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N), "allocs/req")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

var benchID atomic.Int64

// ask sends n requests over the clients' connections, one after the other on each, and returns the duration of
// each.
func ask(b *testing.B, addr string, clients, n int) []time.Duration {
	took := make([]time.Duration, n)
	var next atomic.Int64
	var wg sync.WaitGroup
	for range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := net.Dial("tcp", addr)
			if err != nil {
				b.Error(err)
				return
			}
			defer c.Close()
			r := bufio.NewReader(c)
			var out []byte
			for {
				i := int(next.Add(1)) - 1
				if i >= n {
					return
				}
				out = fmt.Appendf(out[:0], "POST /order/u%d HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: b%d\r\nRequest-Timeout: 30000m\r\nContent-Length: 100\r\n\r\n%100d", i%50, benchID.Add(1), i)
				began := time.Now()
				if _, err := c.Write(out); err != nil {
					b.Error(err)
					return
				}
				if err := answer(r); err != nil {
					b.Error(err)
					return
				}
				took[i] = time.Since(began)
			}
		}()
	}
	wg.Wait()
	return took
}

// answer reads one answer of status 200 with a length.
func answer(r *bufio.Reader) error {
	length := 0
	for line := 0; ; line++ {
		text, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if line == 0 && !strings.HasPrefix(string(text), "HTTP/1.1 200") {
			return fmt.Errorf("answered %q", text)
		}
		if len(text) > 16 && strings.EqualFold(string(text[:16]), "Content-Length: ") {
			fmt.Sscan(string(text[16:]), &length)
		}
		if len(text) <= 2 {
			_, err := r.Discard(length)
			return err
		}
	}
}
