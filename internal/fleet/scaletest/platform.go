package scaletest

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"molepaddle/internal/fleet/distribution"
)

// Platform is a fake platform that serves a backend list page by page, without a rate limit.
type Platform struct {
	Page  int // entries per page
	ln    net.Listener
	calls atomic.Int64

	mu   sync.Mutex
	list distribution.BackendList
}

// StartPlatform starts a Platform on a free port of loopback; Close stops it.
func StartPlatform(list distribution.BackendList, page int) (*Platform, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{Page: page, ln: ln, list: list}
	server := &http.Server{Handler: p, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ln) }()
	return p, nil
}

// Address returns the address at which the platform listens.
func (p *Platform) Address() string { return p.ln.Addr().String() }

// Close closes the platform's listener.
func (p *Platform) Close() { p.ln.Close() }

// Calls returns the number of calls received so far.
func (p *Platform) Calls() int64 { return p.calls.Load() }

// ToggleDraining switches the state of the i-th backend between up and draining.
func (p *Platform) ToggleDraining(i int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := &p.list.Backends[i%len(p.list.Backends)]
	b.Draining = !b.Draining
}

// ServeHTTP answers a call for one page of the list.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.calls.Add(1)
	from, _ := strconv.Atoi(r.URL.Query().Get("marker"))
	type entry struct {
		Service  string `json:"svc"`
		Address  string `json:"address"`
		Zone     string `json:"az"`
		Version  string `json:"ver"`
		Capacity int    `json:"capacity"`
		State    string `json:"state"`
		Warm     int    `json:"warm_left_ms"`
		Phase    string `json:"phase"`
		Models   []struct {
			Name    string   `json:"name"`
			Version int64    `json:"ver"`
			LoRAs   []string `json:"loras"`
		} `json:"model_list"`
		ID string `json:"id"`
	}
	var page struct {
		Backends []entry `json:"backends"`
		Next     *string `json:"next_marker"`
	}
	p.mu.Lock()
	all := p.list.Backends
	from = min(max(from, 0), len(all))
	to := min(from+p.Page, len(all))
	for _, b := range all[from:to] {
		e := entry{Service: b.Service, Address: b.Address, Zone: b.Zone, Version: b.Version, Capacity: b.Capacity,
			State: "up", Phase: b.Phase, ID: b.ID}
		if b.Draining {
			e.State = "draining"
		}
		e.Models = append(e.Models, struct {
			Name    string   `json:"name"`
			Version int64    `json:"ver"`
			LoRAs   []string `json:"loras"`
		}{"m", b.Weights, []string{}})
		page.Backends = append(page.Backends, e)
	}
	p.mu.Unlock()
	if to < len(all) {
		next := strconv.Itoa(to)
		page.Next = &next
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}
