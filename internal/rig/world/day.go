package world

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Day is what a seed draws. All that is left to chance while it is played follows from
// the seed and from what it is about, not from an order; so a day from which operations
// were taken is the same day without them.
type Day struct {
	Seed     uint64
	Agents   int
	Servers  int
	TripUs   float64 // mean one-way time of the network
	WorkMs   float64 // mean work of a request
	Slots    int     // requests that a server works on at once
	Queue    int     // and that wait there
	Settings map[string]any
	Sockets  int
	Cold     bool    `json:",omitempty"` // all servers have just started
	Fleet    int     `json:",omitempty"` // agents that the operator's file tells of; 0: no fleet table
	NoticeMs float64 // mean time until the roster has told a change
	Ops      []Op
	Logs     bool `json:",omitempty"` // the agents' logs go into the trace
	// Of days of two sites:
	Near   int     `json:",omitempty"` // agents that clients ask; the others are far gateways
	LinkUs float64 `json:",omitempty"` // mean one-way time between the sites
	Fast   bool    `json:",omitempty"` // servers speak FastCGI
	// Promises: far gateways have others know what they begin
	Promises bool `json:",omitempty"`

	grouped string
	ttl     time.Duration
}

// Op is one thing that is planned: a request or a fault.
type Op struct {
	ID    int // stays when others are taken out
	At    time.Duration
	Kind  string
	Agent int           `json:",omitempty"`
	Host  int           `json:",omitempty"` // the server's number
	For   time.Duration `json:",omitempty"`
	Share float64       `json:",omitempty"`
	// Of requests:
	Class   int           `json:",omitempty"`
	Key     int           `json:",omitempty"`
	Timeout time.Duration `json:",omitempty"`
	Body    int           `json:",omitempty"`
	Fate    string        `json:",omitempty"`
}

// draw is a number from 0 up to 1 that follows from the seed and what it is for.
func (d *Day) draw(what string, for_ ...uint64) float64 {
	h := d.Seed*0x9e3779b97f4a7c15 + 1
	for _, c := range []byte(what) {
		h = scramble(h ^ uint64(c))
	}
	for _, x := range for_ {
		h = scramble(h ^ x)
	}
	return float64(h>>11) / (1 << 53)
}

func scramble(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

const ms = time.Millisecond

// classes of a day, in the order of its settings.
const (
	look  = iota // safe to repeat
	send         // keyed
	order        // not to run twice
)

var classNames = []string{"look", "send", "order"}

// NewDay draws a day.
func NewDay(seed uint64) *Day {
	rng := rand.New(rand.NewPCG(seed, 0x5eed))
	between := func(a, b float64) float64 { return a + (b-a)*rng.Float64() }
	logBetween := func(a, b float64) float64 { return a * math.Pow(b/a, rng.Float64()) }
	d := &Day{Seed: seed, Agents: 1 + rng.IntN(3), Servers: 2 + rng.IntN(7), TripUs: logBetween(80, 8000),
		WorkMs: between(3, 25), Slots: 1 + rng.IntN(4), Queue: 2 + rng.IntN(20), Sockets: 500 + rng.IntN(500),
		NoticeMs: logBetween(5, 800)}
	if rng.IntN(5) == 0 {
		d.Agents = 4 + rng.IntN(2)
	}
	// A rush: few servers with much to do, one of which comes back cold.
	rush := rng.IntN(6) == 0
	if rush {
		d.Agents, d.Servers, d.Slots, d.WorkMs, d.TripUs = 1+rng.IntN(2), 2+rng.IntN(2), 1, between(12, 30), between(80, 500)
		d.NoticeMs = between(5, 100)
	}
	giveUp := between(150, 700)
	ttl := logBetween(40, 1500)
	connect := between(30, 250)
	if rng.IntN(4) == 0 {
		connect = between(300, 700)
	}
	d.Settings = map[string]any{
		"failureDomains": []string{"x", "y"}, "shapes": []string{"k"},
		"membershipMode": []string{"pushed", "on_request", "on_request"}[rng.IntN(3)],
		"limits": map[string]any{"cancelling": rng.IntN(4) > 0, "connectTimeoutMs": connect,
			"keepaliveMs": logBetween(300, 30000), "maxAttempts": 1 + rng.IntN(3), "maxRetryAfterMs": 600,
			"retryAfter": true, "probing": rng.IntN(3) == 0},
		"contract": map[string]any{"answerSlackMs": 20, "askWithinMs": logBetween(800, 10000), "coldFrom": between(0.15, 0.5),
			"coldMs": between(800, 4000), "drainGraceMs": 250, "fallMultiple": between(1.5, 3), "tipAfterMs": between(300, 1000)},
		"replicasOfMe": d.Agents, "roundMs": between(1, 5), "weights": []string{"nominal", "off"}[rng.IntN(2)],
		"report":       map[string]any{"how": "answers", "names": []string{"qps", "util"}},
		"clients":      map[string]any{"marksRetry": rng.IntN(2) == 0},
		"worthBy":      "request",
		"prices":       map[string]any{"crossZone": between(0, 0.05), "handshake": between(0, 0.1), "connection": between(0, 0.02)},
		"tenants":      []any{},
		"objectiveMix": map[string]any{"whole": 0.7, "worstWindow": 0.2, "worstClass": 0.1},
	}
	classes := []any{}
	group := []string{"all", "zone", "cell"}[rng.IntN(3)]
	for i, effect := range []string{"free", "guarded", "single_shot"} {
		classes = append(classes, map[string]any{"name": classNames[i], "aimMs": giveUp * between(0.3, 0.8), "giveUpMs": giveUp,
			"credit": 1 + float64(i), "lateShare": []float64{0, 0.2}[rng.IntN(2)], "effect": effect, "group": group, "keyTtlMs": ttl})
	}
	d.Settings["classes"] = classes
	if rush {
		contract := d.Settings["contract"].(map[string]any)
		contract["coldFrom"], contract["coldMs"] = between(0.15, 0.25), between(2000, 4000)
		contract["fallMultiple"], contract["tipAfterMs"] = between(1.2, 2), between(400, 1000)
	}
	d.Cold = rng.IntN(12) == 0
	if d.draw("fleet") < 0.3 {
		d.Fleet = []int{d.Agents, 50, 500}[int(3*d.draw("fleet-agents"))]
	}
	d.prepare()

	length := time.Duration(between(700, 1800)) * ms
	rate := between(0.2, 1.1) * float64(d.Servers*d.Slots) / (d.WorkMs / 1000) // a second, over all agents
	requests := min(int(rate*length.Seconds()), 40+rng.IntN(100))
	add := func(o Op) {
		o.ID = len(d.Ops) + 1
		d.Ops = append(d.Ops, o)
	}
	if rush {
		length = time.Duration(between(1500, 2500)) * ms
		requests = min(int(between(0.7, 1.2)*float64(d.Servers)/(d.WorkMs/1000)*length.Seconds()), 250)
		add(Op{At: length / 6, Kind: []string{"crash", "move", "add"}[rng.IntN(3)], Host: rng.IntN(d.Servers), For: 20 * ms})
		if back := &d.Ops[0]; back.Kind != "add" && rng.IntN(2) == 0 { // and fails fast when it is back
			add(Op{At: back.At + back.For, Kind: "fail-fast", Host: back.Host, For: time.Duration(between(400, 1000)) * ms, Share: 1})
		}
	}
	keys := 1 + rng.IntN(40)
	burst := rng.IntN(4) == 0
	odd := between(0, 0.25) // share of requests with a fate of their own
	fates := []string{"leave", "close", "half-close", "cancel-at-last-byte", "twice", "pieces", "pipeline", "slow-reader", "half", "silent", "noise"}
	for range requests {
		at := time.Duration(rng.Float64() * float64(length))
		if burst && rng.IntN(3) == 0 {
			at = length/3 + time.Duration(rng.Float64()*float64(20*ms)) // by hundreds
		}
		o := Op{At: at, Kind: "ask", Agent: rng.IntN(d.Agents), Class: rng.IntN(3), Key: rng.IntN(keys + 1),
			Timeout: time.Duration(giveUp*between(0.3, 1.2)) * ms, Body: rng.IntN(300)}
		if rng.IntN(60) == 0 {
			o.Body = 64<<10 - rng.IntN(2)
		}
		if rng.Float64() < odd {
			o.Fate = fates[rng.IntN(len(fates))]
			o.For = time.Duration(logBetween(0.05, giveUp)*float64(ms)) + 1
		}
		if o.Class == send && o.Fate == "" && rng.Float64() < odd/2 {
			o.Fate = "key-window"
		}
		add(o)
	}
	faults := []string{"fail-fast", "turn-away", "hang", "reset-request", "reset-answer", "spoil", "surplus", "interim",
		"dribble", "bad-report", "no-length", "drop-idle", "close-after", "slow-dial", "refuse-dial", "deaf"}
	for range rng.IntN(6) {
		add(Op{At: time.Duration(rng.Float64() * float64(length)), Kind: faults[rng.IntN(len(faults))], Host: rng.IntN(d.Servers),
			For: time.Duration(between(50, 900)) * ms, Share: []float64{1, between(0.05, 1)}[rng.IntN(2)]})
	}
	changes := []string{"drain", "drain", "drain-at-reply", "drain-at-reply", "vanish", "vanish", "replace", "crash", "crash-listed",
		"add", "slow-drain", "old-delta", "old-delta", "roster-down", "roster-silent", "roster-late", "reload", "term", "kill", "move"}
	for range rng.IntN(5) {
		add(Op{At: time.Duration(rng.Float64() * float64(length)), Kind: changes[rng.IntN(len(changes))], Agent: rng.IntN(d.Agents),
			Host: rng.IntN(d.Servers), For: time.Duration(between(50, 900)) * ms})
	}
	for _, kind := range []string{"evacuate", "resettle", "resettle", "alone", "alone"} {
		if n := uint64(len(d.Ops)); d.draw(kind, n) < 0.2 {
			add(Op{At: time.Duration(d.draw("at", n) * float64(length)), Kind: kind, Agent: int(d.draw("agent", n) * float64(d.Agents)),
				Host: int(d.draw("host", n) * float64(d.Servers)), For: time.Duration(1+900*d.draw("for", n)) * ms})
		}
	}
	sort.SliceStable(d.Ops, func(i, j int) bool { return d.Ops[i].At < d.Ops[j].At })
	return d
}

// prepare takes from the settings what the world needs of them.
func (d *Day) prepare() {
	c := d.Settings["classes"].([]any)[send].(map[string]any)
	d.grouped = c["group"].(string)
	d.ttl = time.Duration(c["keyTtlMs"].(float64) * float64(ms))
}

func (d *Day) contract(key string) float64 {
	switch x := d.Settings["contract"].(map[string]any)[key].(type) {
	case int:
		return float64(x)
	case float64:
		return x
	}
	panic(key)
}

func (d *Day) giveUp() time.Duration {
	return time.Duration(d.Settings["classes"].([]any)[0].(map[string]any)["giveUpMs"].(float64) * float64(ms))
}

func (d *Day) maxAttempts() int {
	switch x := d.Settings["limits"].(map[string]any)["maxAttempts"].(type) {
	case int:
		return x
	case float64:
		return int(x)
	}
	panic("maxAttempts")
}

// Without is the day without the operations that keep does not name.
func (d *Day) with(keep []Op) *Day {
	c := *d
	c.Ops = keep
	return &c
}

// JSON is the day as it can be kept and read again.
func (d *Day) JSON() []byte {
	text, err := json.MarshalIndent(d, "", " ")
	if err != nil {
		panic(err)
	}
	return text
}

// ReadDay reads what JSON wrote.
func ReadDay(text []byte) (*Day, error) {
	d := &Day{}
	if err := json.Unmarshal(text, d); err != nil {
		return nil, fmt.Errorf("day: %w", err)
	}
	d.prepare()
	return d, nil
}
