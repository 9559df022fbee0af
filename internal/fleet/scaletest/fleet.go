package scaletest

import (
	"fmt"
	"strconv"

	"molepaddle/internal/fleet/distribution"
)

// zones is the number of zones over which simulated machines are spread; 21 is the operators' target.
const zones = 21

// prefillShare is the fraction of the backends that serve prefill; 34 in 100 is the operators' target.
const prefillShare = 0.34

// Zone returns the zone of the i-th machine.
func Zone(i int) string { return "zone-" + strconv.Itoa(i%zones) }

// Backends returns a list of n fake backends of one service, sorted by id. Their addresses are on loopback, where
// nothing listens.
func Backends(n int) distribution.BackendList {
	l := distribution.BackendList{Backends: make([]distribution.Backend, n)}
	for i := range l.Backends {
		phase := "decode"
		if float64(i*37%100) < prefillShare*100 { // spread evenly, as 37 and 100 have no common factor
			phase = "prefill"
		}
		l.Backends[i] = distribution.Backend{
			ID:       fmt.Sprintf("i-%08x", i),
			Service:  "llm",
			Address:  fmt.Sprintf("127.%d.%d.%d:8080", 100+i>>16, i>>8&255, i&255),
			Zone:     Zone(i),
			Version:  "v1",
			Capacity: 64,
			Phase:    phase,
			Weights:  1,
		}
	}
	return l
}

// The documents of the configuration, as the operator sends them (PROTOCOL, "The operator's API").
type (
	document struct {
		Version  int64         `json:"ver"`
		Routes   []routeItem   `json:"routing"`
		Services []serviceItem `json:"svcs"`
		Limits   limitsItem    `json:"caps"`
	}
	change struct {
		Version int64 `json:"ver"`
		Upsert  struct {
			Routes []routeItem `json:"routing"`
		} `json:"upsert"`
	}
	routeItem struct {
		Name      string `json:"name"`
		Host      string `json:"hostname"`
		Prefix    string `json:"pfx"`
		Kind      string `json:"kind"`
		Deadline  int    `json:"deadline_ms"`
		Target    int    `json:"target_ms"`
		Priority  int    `json:"prio"`
		Service   string `json:"svc"`
		Tries     int    `json:"tries"`
		Pin       bool   `json:"pin"`
		Resumable bool   `json:"resumable"`
		Gap       int    `json:"gap_aim_ms"`
	}
	serviceItem struct {
		Name     string      `json:"name"`
		Probe    string      `json:"probe"`
		MaxConn  int         `json:"maxconn"`
		Protocol string      `json:"proto"`
		TLS      bool        `json:"ssl"`
		Runtime  runtimeItem `json:"runtime"`
	}
	runtimeItem struct {
		Capacity int         `json:"capacity"`
		Tokens   int         `json:"kv_ntok"`
		Bytes    int         `json:"kv_tok_bytes"`
		Mbps     float64     `json:"bw_mbps"`
		Stride   int         `json:"stride"`
		KeptFor  float64     `json:"kv_ref_s"`
		SwapFor  float64     `json:"swap_s"`
		Models   []modelItem `json:"model_list"`
	}
	modelItem struct {
		Name string `json:"name"`
	}
	limitsItem struct {
		Header  int `json:"hdr_max_bytes"`
		Body    int `json:"body_max_bytes"`
		HeadFor int `json:"hdr_timeout_ms"`
		IdleFor int `json:"idle_timeout_ms"`
	}
)

func route(i int, priority int) routeItem {
	return routeItem{
		Name:      fmt.Sprintf("r-%07d", i),
		Host:      fmt.Sprintf("tenant-%d.example", i%1900),
		Prefix:    fmt.Sprintf("/p%d/", i),
		Kind:      "stream",
		Deadline:  20_000,
		Target:    810,
		Priority:  priority,
		Service:   "llm",
		Tries:     2,
		Pin:       true,
		Resumable: true,
		Gap:       69,
	}
}

// newDocument returns a complete configuration with the given number of routes.
func newDocument(version int64, routes int) document {
	service := serviceItem{Name: "llm", Probe: "/healthz", MaxConn: 360, Protocol: "h1", Runtime: runtimeItem{
		Capacity: 64,
		Tokens:   600_000,
		Bytes:    163_840,
		Mbps:     8_800_000,
		Stride:   1,
		KeptFor:  5,
		SwapFor:  0.5,
		Models:   []modelItem{{"m"}},
	}}
	d := document{
		Version:  version,
		Limits:   limitsItem{16_384, 4 << 20, 3000, 15_000},
		Services: []serviceItem{service},
	}
	for i := range routes {
		d.Routes = append(d.Routes, route(i, 0))
	}
	return d
}
