package proxy

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/protocol/transport"
)

// The deployment of the simulated days: six regions with 21 zones, with a plain and a model backend in each zone.
const (
	drawnRegions = 6
	drawnZones   = 21
)

func drawnRegion(zone int) string { return fmt.Sprintf("r%d", zone%drawnRegions) }

func drawnZoneName(zone int) string { return fmt.Sprintf("z%02d", zone) }

// nodeFault is a fault of a node.
type nodeFault int

const (
	noFault nodeFault = iota
	down              // refuses connections
	resets            // reads a request and closes the connection
	fails             // answers 500
	full              // reports that it has not run the request
	garbles           // responds without a seal
	cuts              // closes the connection within its response
	numNodeFaults
)

// node is an in-memory backend.
type node struct {
	id, service, phase string
	zone               int // as listed
	address            string
	draining, listed   bool
	fault              nodeFault
}

func (n *node) region() string { return drawnRegion(n.zone) }

// simulatedDay is one random scenario: a proxy with in-memory nodes, and everything recorded about it. Its lock guards
// all fields, since nodes respond in goroutines of their own; a change may happen while the proxy waits for one of
// them.
type simulatedDay struct {
	tb    testing.TB
	seed  uint64
	proxy *Proxy

	mu             sync.Mutex
	rng            *rand.Rand
	nodes          []*node
	nodesByAddress map[string]*node // the node that listens at an address
	tenants        map[string][]int // regions of each
	routeRegions   map[string][]int // regions of a tenant's stream route, if it has some of its own
	version        int
	count          uint64
	changes        int  // number of changes to terms, list and faults
	changeInFlight bool // changes may happen while a request is in flight
	runs           map[string]int
	dials          int
	handles        map[string]heldHandle
	findings       []string
	counts         map[string]int
}

type heldHandle struct {
	n     *node
	route string
}

// drawnTenants are the tenants with terms. A route is named by a letter for its kind and the tenant.
var drawnTenants = []string{"a", "b", "c"}

// newSimulatedDay returns the scenario of a seed: its nodes, some of them listed, and a configured proxy.
func newSimulatedDay(tb testing.TB, seed uint64) *simulatedDay {
	zones := map[string]string{}
	for z := range drawnZones {
		zones[drawnZoneName(z)] = drawnRegion(z)
	}
	d := &simulatedDay{
		tb:             tb,
		seed:           seed,
		rng:            rand.New(rand.NewPCG(seed, 0)),
		nodesByAddress: map[string]*node{},
		tenants:        map[string][]int{},
		routeRegions:   map[string][]int{},
		runs:           map[string]int{},
		handles:        map[string]heldHandle{},
		counts:         map[string]int{},
	}
	d.proxy = New(context.Background(), testSettings(zones), zap.NewNop())
	d.proxy.pool.Close()
	pool := transport.New(transport.Options{
		Dial:    d.dial,
		Timeout: connectTimeout,
		Idle:    10 * time.Second,
		Most:    1000,
		Settle:  0,
		Resting: 4,
	})
	d.proxy.pool = pool
	d.proxy.gate = residency.NewGate(pool, zones)
	for z := range drawnZones {
		phase := externalapi.PhaseDecode
		if (z+z/drawnRegions)%3 == 0 {
			phase = externalapi.PhasePrefill
		}
		for _, n := range []*node{{service: "obs"}, {service: "llm", phase: phase}} {
			n.id = fmt.Sprintf("%s-%s", n.service, drawnZoneName(z))
			n.zone = z
			n.address = fmt.Sprintf("10.%d.0.%d:80", len(n.phase), z+1)
			n.listed = d.rng.IntN(8) > 0
			d.nodes = append(d.nodes, n)
			d.nodesByAddress[n.address] = n
		}
	}
	for _, t := range drawnTenants {
		d.tenants[t] = d.someRegions()
	}
	d.relist()
	d.configure()
	return d
}

// addFinding records a finding, by which the day fails.
func (d *simulatedDay) addFinding(format string, args ...any) {
	d.findings = append(d.findings, fmt.Sprintf(format, args...))
}

// someRegions returns one to three random regions.
func (d *simulatedDay) someRegions() []int { return d.rng.Perm(drawnRegions)[:1+d.rng.IntN(3)] }

// regionNames returns the names of regions.
func regionNames(regions []int) []string {
	out := []string{}
	for _, r := range regions {
		out = append(out, drawnRegion(r))
	}
	return out
}

// terms returns the regions in which a route's data may be held now; false: any.
func (d *simulatedDay) terms(route string) ([]int, bool) {
	tenant := route[1:]
	regions, ok := d.tenants[tenant]
	if own := d.routeRegions[tenant]; ok && route[0] == 's' && own != nil {
		return own, true
	}
	return regions, ok
}

// allowed reports whether a node may hold a route's data now.
func (d *simulatedDay) allowed(n *node, route string) bool {
	regions, bound := d.terms(route)
	return !bound || slices.Contains(regions, n.zone%drawnRegions)
}

// configure applies the current terms to the proxy.
func (d *simulatedDay) configure() {
	d.version++
	var routes, tenants []string
	for _, t := range append(slices.Clone(drawnTenants), "free") {
		regions, bound := d.tenants[t]
		of := ""
		if bound {
			b, _ := json.Marshal(regionNames(regions))
			tenants = append(tenants, fmt.Sprintf(`{"name":%q,"regions":%s}`, t, b))
			of = fmt.Sprintf(`,"tenant":%q`, t)
		}
		routes = append(routes, d.routesOf(t, of)...)
	}
	doc := fmt.Sprintf(`{"ver":%d,"routing":[%s],"tenants":[%s],"svcs":[{"name":"obs","probe":"/healthz"},`+
		`{"name":"llm","probe":"/healthz","runtime":{"capacity":8,"kv_ntok":1000000,"kv_tok_bytes":163840,`+
		`"bw_mbps":8000000,"kv_ref_s":5}}]}`,
		d.version, strings.Join(routes, ","), strings.Join(tenants, ","))
	applyResource(d.proxy, distribution.ConfigType, uint64(d.version), []byte(doc))
	if got := d.proxy.snapshot.Load(); got == nil || got.version != int64(d.version) {
		d.addFinding("the proxy did not apply version %d: %s", d.version, doc)
	}
}

// routesOf returns the four routes of a tenant, with its JSON field.
func (d *simulatedDay) routesOf(tenant, item string) []string {
	var routes []string
	for _, r := range []struct{ letter, kind, svc, more string }{
		{"r", "readonly", "obs", ""},
		{"p", "mutating", "obs", ""},
		{"s", "stream", "llm", `,"resumable":true`},
		{"o", "stream", "llm", ""},
	} {
		if own := d.routeRegions[tenant]; r.letter == "s" && own != nil {
			b, _ := json.Marshal(regionNames(own))
			r.more += `,"regions":` + string(b)
		}
		routes = append(routes, fmt.Sprintf(`{"name":%[1]q,"hostname":"h","pfx":"/%[1]s/","kind":%[2]q,`+
			`"deadline_ms":%[3]d,"target_ms":150,"svc":%[4]q,"tries":3%[5]s%[6]s}`,
			r.letter+tenant, r.kind, testDeadline.Milliseconds(), r.svc, item, r.more))
	}
	return routes
}

// relist applies the current endpoint list to the proxy.
func (d *simulatedDay) relist() {
	var list distribution.BackendList
	for _, n := range d.nodes {
		if n.listed {
			list.Backends = append(list.Backends, distribution.Backend{
				ID:       n.id,
				Service:  n.service,
				Address:  n.address,
				Zone:     drawnZoneName(n.zone),
				Version:  "v1",
				Capacity: 8,
				Phase:    n.phase,
				Draining: n.draining,
			})
		}
	}
	snapshot, _ := list.MarshalMsg(nil)
	d.count++
	applyResource(d.proxy, distribution.BackendListType, d.count, snapshot)
}

// change makes one random change.
func (d *simulatedDay) change() {
	d.changes++
	n := d.nodes[d.rng.IntN(len(d.nodes))]
	switch d.rng.IntN(11) {
	case 0, 1:
		n.fault = nodeFault(d.rng.IntN(int(numNodeFaults)))
	case 2: // a whole region gets one fault
		region, how := d.rng.IntN(drawnRegions), []nodeFault{down, down, resets, fails, full}[d.rng.IntN(5)]
		for _, one := range d.nodes {
			if one.zone%drawnRegions == region {
				one.fault = how
			}
		}
	case 3: // a region, or everything, recovers
		region := d.rng.IntN(drawnRegions + 1)
		for _, one := range d.nodes {
			if region == drawnRegions || one.zone%drawnRegions == region {
				one.fault = noFault
			}
		}
	case 4, 5, 6:
		t := drawnTenants[d.rng.IntN(len(drawnTenants))]
		if d.rng.IntN(3) > 0 {
			d.tenants[t] = d.someRegions()
			d.routeRegions[t] = nil
		} else if d.routeRegions[t] = nil; d.rng.IntN(2) == 0 {
			d.routeRegions[t] = d.tenants[t][:1]
		}
		d.configure()
	case 7:
		n.listed, n.draining = d.rng.IntN(4) > 0, d.rng.IntN(8) == 0
		d.relist()
	case 8: // the zone is corrected, for listed nodes only
		if zone := d.rng.IntN(drawnZones); n.listed {
			n.zone = zone
			d.relist()
		}
	case 9: // addresses are reassigned, and the list may lag
		o := d.nodes[d.rng.IntN(len(d.nodes))]
		d.nodesByAddress[n.address], d.nodesByAddress[o.address] = d.nodesByAddress[o.address], d.nodesByAddress[n.address]
		if d.rng.IntN(2) == 0 {
			for addr, who := range d.nodesByAddress {
				who.address = addr
			}
			d.relist()
		}
	case 10: // a whole region leaves the list, or returns
		region, listed := d.rng.IntN(drawnRegions), d.rng.IntN(2) == 0
		for _, one := range d.nodes {
			if one.zone%drawnRegions == region {
				one.listed = listed
			}
		}
		d.relist()
	}
}

// maybeChange makes a change in one of six calls, if changes may happen while a request is in flight, and reports
// whether it did. It is called where the proxy waits: a change between the proxy's last check of the terms and the
// node's first counts as one during the attempt.
func (d *simulatedDay) maybeChange() bool {
	if d.changeInFlight && d.rng.IntN(6) == 0 {
		d.change()
		return true
	}
	return false
}

var errDown = errors.New("connection refused by the test")

// clientRequestKey marks the context of a client's request. Handles are released in the background, concurrently with a
// request, and no change may happen at a time that an attempt cannot detect.
type clientRequestKey struct{}

// dial connects to the node at an address.
func (d *simulatedDay) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.nodesByAddress[addr]
	d.dials++
	if n == nil || n.fault == down {
		return nil, errDown
	}
	if ctx.Value(clientRequestKey{}) != nil {
		d.maybeChange()
	}
	clientEnd, serverEnd := net.Pipe()
	go d.serve(serverEnd, addr)
	return clientEnd, nil
}

// serve responds on one connection until a response ends it.
func (d *simulatedDay) serve(c net.Conn, addr string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		head, events, rest, over := d.answer(addr, req)
		if _, err := io.WriteString(c, head); err != nil || rest == "" {
			return
		}
		for i, e := range events {
			if i > 0 {
				e = d.event(addr, req, e, &over)
			}
			if _, err := io.WriteString(c, e); err != nil {
				return
			}
		}
		if rest == "cut" {
			return
		}
	}
}

// event returns a later event of a stream. A change may happen before it, and data that is then generated outside the
// terms is marked. over means that a change happened, and the proxy may have moved the request to another node.
func (d *simulatedDay) event(addr string, req *http.Request, e string, over *bool) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	*over = *over || d.maybeChange()
	n := d.nodesByAddress[addr]
	if n.id == req.Header.Get(externalapi.HeaderTargetBackend) && !d.allowed(n, requestRoute(req)) {
		return strings.Replace(e, "inside ", "outside", 1)
	}
	return e
}

// requestRoute returns the route of a request, by its path.
func requestRoute(r *http.Request) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return name
}

// answer returns a node's response: a head, the events after it, and how it continues: "" ends the connection at once,
// "cut" after the events. For over see event.
func (d *simulatedDay) answer(addr string, r *http.Request) (head string, events []string, rest string, over bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, id, route := d.nodesByAddress[addr], r.Header.Get(externalapi.HeaderAttemptID), requestRoute(r)
	say := func(status int, body string, more ...string) string {
		return fmt.Sprintf("HTTP/1.1 %d x\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
			status, externalapi.HeaderAttemptID, id, strings.Join(append(more, ""), "\r\n"), len(body), body)
	}
	if n.fault == down {
		return "", nil, "", over
	}
	if n.id != r.Header.Get(externalapi.HeaderTargetBackend) {
		return say(http.StatusMisdirectedRequest, ""), nil, "on", over
	}
	if r.Method == externalapi.CallFreeKVHandle.Method {
		delete(d.handles, n.id+strings.TrimPrefix(r.URL.Path, externalapi.CallFreeKVHandle.Path))
		return say(http.StatusOK, ""), nil, "on", over
	}
	stage, from := r.Header.Get(externalapi.HeaderStage), r.Header.Get(externalapi.HeaderKVFrom)
	switch {
	case n.service == "llm" && (stage != "") != (n.phase == externalapi.PhasePrefill):
		return say(http.StatusMisdirectedRequest, ""), nil, "on", over
	case n.fault == full:
		notRun := say(http.StatusServiceUnavailable, "",
			externalapi.HeaderNotRun+": 1", externalapi.HeaderRetryAfter+": 0.05")
		return notRun, nil, "on", over
	}
	// The request runs: its data is held here.
	if !d.allowed(n, route) {
		d.addFinding("%s of %s runs at %s in %s, outside its terms", id, route, n.id, n.region())
	}
	if from != "" && !d.takeHandle(id, route, from) {
		return say(http.StatusServiceUnavailable, "", externalapi.HeaderNotRun+": 1"), nil, "on", over
	}
	if stage == "" {
		d.runs[id]++
	}
	over = d.maybeChange()
	seal := externalapi.HeaderBackendSeal + ": s"
	switch n.fault {
	case resets:
		return "", nil, "", over
	case fails:
		return say(http.StatusInternalServerError, "failed"), nil, "on", over
	case garbles:
		seal = "X: y"
	}
	body := "answer to " + id
	switch {
	case stage != "":
		ref := strconv.Itoa(len(d.handles)+d.changes) + "-" + id
		d.handles[n.id+ref] = heldHandle{n, route}
		return say(http.StatusOK, fmt.Sprintf(`{"kv_ref":%q,"ntok":10}`, ref), seal), nil, "on", over
	case n.service == "llm":
		events = drawnStream(r.Header.Get(externalapi.HeaderLastEventID), body)
		head = fmt.Sprintf("HTTP/1.1 200 x\r\n%s: %s\r\n%s\r\n"+
			"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			externalapi.HeaderAttemptID, id, seal)
		if n.fault == cuts {
			return head, events[:len(events)/2], "cut", over
		}
		return head, append(events, "0\r\n\r\n"), "on", over
	case n.fault == cuts:
		complete := say(http.StatusOK, body, seal)
		return complete[:len(complete)-3], nil, "", over
	}
	return say(http.StatusOK, body, seal), nil, "on", over
}

// takeHandle removes the handle that a request names, and records a finding if it belongs to another route or lies
// outside the terms; false: there is no such handle.
func (d *simulatedDay) takeHandle(id, route, from string) bool {
	at, ref, _ := strings.Cut(from, "/")
	h, ok := d.handles[d.nodesByAddress[at].id+ref]
	switch {
	case !ok:
		return false
	case h.route != route:
		d.addFinding("%s of %s uses a handle of %s", id, route, h.route)
	case !d.allowed(h.n, route):
		d.addFinding("%s of %s uses a handle held at %s in %s, outside its terms", id, route, h.n.id, h.n.region())
	}
	delete(d.handles, d.nodesByAddress[at].id+ref)
	return true
}

// drawnEvents is the number of events of a stream.
const drawnEvents = 4

// drawnStream returns the events of a stream after the client's last one, as chunks.
func drawnStream(lastID, body string) (events []string) {
	last, _ := strconv.Atoi(lastID)
	for i := last + 1; i <= drawnEvents; i++ {
		e := fmt.Sprintf("id: %d\ndata: inside  %s\n\n", i, body)
		events = append(events, fmt.Sprintf("%x\r\n%s\r\n", len(e), e))
	}
	return events
}
