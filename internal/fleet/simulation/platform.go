package simulation

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// rateWindow is the time in which PlatformSettings.Rate counts calls: rate_s is calls a second.
const rateWindow = time.Second

// PlatformSettings configures a Platform.
type PlatformSettings struct {
	Page  int              // entries on a page; 50 when 0
	Rate  float64          // rate_s: calls accepted from all callers in a second, at least 1; 0 for no bound
	Delay time.Duration    // delay_ms: how long after a change the list shows it; 0 for at once
	Now   func() time.Time // time.Now when nil
}

// Backend is one entry of the Platform's list.
type Backend struct {
	ID         string  `json:"id"`
	Service    string  `json:"svc"`
	Address    string  `json:"address"`
	Zone       string  `json:"az"`
	Version    string  `json:"ver"`
	Capacity   int     `json:"capacity"`
	State      string  `json:"state"`
	WarmLeftMs int     `json:"warm_left_ms"`
	Phase      Phase   `json:"phase,omitempty"`
	Models     []Model `json:"model_list,omitempty"`
}

// listedEngine is an Engine with its state in the list.
type listedEngine struct {
	e     *Engine
	state string
}

// listVersion is the content of the list since a time.
type listVersion struct {
	at   time.Time
	list []Backend
}

// Platform is a fake platform that serves the list of backends over HTTP: GET /backends with az and marker. It is safe
// for concurrent use.
type Platform struct {
	s        PlatformSettings
	listener net.Listener

	mu            sync.Mutex
	engines       []listedEngine
	history       []listVersion // the oldest first; never empty
	recentCalls   []time.Time   // accepted within rateWindow
	totalCalls    int
	rejectedCalls int
	down          bool // see SetDown
}

// StartPlatform starts a Platform, which ends with the test, with engines listed as up.
func StartPlatform(tb TB, s PlatformSettings, engines ...*Engine) *Platform {
	tb.Helper()
	if s.Page == 0 {
		s.Page = 50
	}
	if s.Now == nil {
		s.Now = time.Now
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatalf("simulation: platform: %v", err)
	}
	p := &Platform{s: s, listener: ln}
	// The initial list is visible at once; the delay applies to changes only.
	p.history = []listVersion{{}}
	for _, e := range engines {
		p.engines = append(p.engines, listedEngine{e, StateUp})
	}
	p.history[0].list = p.snapshot()
	srv := &http.Server{Handler: p}
	go srv.Serve(ln)
	tb.Cleanup(func() { srv.Close() })
	for _, e := range engines {
		e.onChange(p.recordList)
	}
	return p
}

// snapshot returns the current list. But for StartPlatform, p.mu is held.
func (p *Platform) snapshot() []Backend {
	out := []Backend{}
	for _, l := range p.engines {
		s := l.e.Settings()
		out = append(out, Backend{
			ID:       l.e.ID(),
			Service:  s.Service,
			Address:  s.Address,
			Zone:     s.Zone,
			Version:  s.Version,
			Capacity: s.Capacity,
			State:    l.state,
			Phase:    l.e.Phase(),
			Models:   l.e.Models(),
		})
	}
	return out
}

// recordList adds the current list to the history.
func (p *Platform) recordList() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = append(p.history, listVersion{p.s.Now(), p.snapshot()})
}

// Address returns the platform's IP:PORT, for provider.address.
func (p *Platform) Address() string { return p.listener.Addr().String() }

// Add lists engines as up.
func (p *Platform) Add(engines ...*Engine) {
	p.mu.Lock()
	for _, e := range engines {
		p.engines = append(p.engines, listedEngine{e, StateUp})
	}
	p.mu.Unlock()
	p.recordList()
	for _, e := range engines {
		e.onChange(p.recordList)
	}
}

// Drain lists engines as draining and sets their Draining fault; they continue to serve.
func (p *Platform) Drain(engines ...*Engine) {
	p.mu.Lock()
	for i, l := range p.engines {
		if slices.Contains(engines, l.e) {
			p.engines[i].state = StateDraining
		}
	}
	p.mu.Unlock()
	p.recordList()
	for _, e := range engines {
		f := e.Faults()
		f.Draining = true
		e.SetFaults(f)
	}
}

// Remove removes engines from the list. Crashed engines stay on the list unless they are removed.
func (p *Platform) Remove(engines ...*Engine) {
	p.mu.Lock()
	p.engines = slices.DeleteFunc(p.engines, func(l listedEngine) bool { return slices.Contains(engines, l.e) })
	p.mu.Unlock()
	p.recordList()
}

// SetDown makes the platform close each call without an answer, or serve again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// Calls returns the number of calls received, and the number of those answered with 429.
func (p *Platform) Calls() (total, rejected int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.totalCalls, p.rejectedCalls
}

// listAt returns the list as it was Delay before now. p.mu is held.
func (p *Platform) listAt(now time.Time) []Backend {
	at := now.Add(-p.s.Delay)
	i := len(p.history) - 1
	for i > 0 && p.history[i].at.After(at) {
		i--
	}
	return p.history[i].list
}

// admitCall counts a call and reports whether the rate allows it. p.mu is held.
func (p *Platform) admitCall(now time.Time) bool {
	p.totalCalls++
	p.recentCalls = slices.DeleteFunc(p.recentCalls, func(t time.Time) bool { return now.Sub(t) >= rateWindow })
	if p.s.Rate > 0 && float64(len(p.recentCalls)+1) > max(p.s.Rate, 1) {
		p.rejectedCalls++
		return false
	}
	p.recentCalls = append(p.recentCalls, now)
	return true
}

// ServeHTTP answers a call for the list, from the entry on that the marker names.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	now := p.s.Now()
	admitted := p.admitCall(now)
	down := p.down
	list := p.listAt(now)
	p.mu.Unlock()
	from, markerOK := parseMarker(r.URL.Query().Get("marker"))
	switch {
	case down:
		panic(http.ErrAbortHandler) // closes the connection without an answer
	case !admitted:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case r.URL.Path != "/backends":
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Method != http.MethodGet || !markerOK:
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if az := r.URL.Query().Get("az"); az != "" {
		list = slices.DeleteFunc(slices.Clone(list), func(b Backend) bool { return b.Zone != az })
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(p.page(list, from))
}

// markerPrefix begins the marker of a page; the index of its first entry follows.
const markerPrefix = "p-"

// parseMarker returns the index of a page's first entry: 0 without a marker.
func parseMarker(marker string) (from int, ok bool) {
	if marker == "" {
		return 0, true
	}
	from, err := strconv.Atoi(strings.TrimPrefix(marker, markerPrefix))
	return from, err == nil && from >= 0
}

// listPage is the answer to a call for the list. NextMarker is nil on the last page.
type listPage struct {
	Backends   []Backend `json:"backends"`
	NextMarker *string   `json:"next_marker"`
}

// page returns the page of a list that begins at an index.
func (p *Platform) page(list []Backend, from int) listPage {
	from = min(from, len(list))
	to := min(from+p.s.Page, len(list))
	page := listPage{Backends: append([]Backend{}, list[from:to]...)}
	if to < len(list) {
		marker := fmt.Sprintf("%s%d", markerPrefix, to)
		page.NextMarker = &marker
	}
	return page
}
