package simulation

import (
	"cmp"
	"time"
)

// Phase is the part of serving a prompt that a backend does.
type Phase string

// The phases. A plain service has none.
const (
	PhaseNone    Phase = ""
	PhasePrefill Phase = "prefill"
	PhaseDecode  Phase = "decode"
)

// Model is one entry of a backend's model_list.
type Model struct {
	Name  string   `json:"name"`
	Ver   int      `json:"ver"` // version of the weights
	LoRAs []string `json:"loras"`
}

// EngineSettings configures an Engine. The comment of each field gives its default.
type EngineSettings struct {
	ID      string // id of the first incarnation; random when empty
	Service string // name of the service; "svc" when empty
	Zone    string // az in the list
	Region  string // for transfers between regions and for Judge
	Version string // ver in the list (of its software); "v1" when empty
	Address string // IP:PORT to listen at; "127.0.0.1:0" when empty

	Phase     Phase
	Probe     string // path of health checks; "/healthz" when empty
	Capacity  int    // requests that run at once; 8 when 0
	Queue     int    // requests that may be queued; 0 for none
	MaxConn   int    // connections accepted from all callers; 0 for no bound
	KeepAlive int    // seconds announced in Keep-Alive and kept for idle connections; 0 for neither
	HideLoad  bool   // leave out X-Molepaddle-Backend-Load
	NoReport  bool   // answer 404 to GET /molepaddle/report: its load and phase can't be polled

	KVTokens     int           // kv_ntok: memory in tokens; 1,000,000 when 0
	KVTokenBytes int           // kv_tok_bytes: bytes of one token's memory; 163,840 when 0
	Bandwidth    float64       // bw_mbps of transfers; transfers take no time when 0
	Stream       bool          // answer with streams although Phase is none
	Stride       int           // tokens in one event; 1 when 0
	Models       []Model       // [{m 1 []}] when nil and Phase is set
	HandleTTL    time.Duration // kv_ref_s: how long a handle is kept; 5 s when 0
	Swap         time.Duration // swap_s: how long a phase order takes after the last request ended
	Fencing      bool          // reject orders with a lower gen than one seen, with 412

	Step            time.Duration // time of one event, or the work of a plain request; 0 for none
	PrefillPerToken time.Duration // time to prefill one token; doubled at a decode backend; 0 for none
	BodyBytes       int           // length of a plain answer's body; 64 when 0
	Tokens          int           // tokens of a stream when X-Molepaddle-Token-Count is absent; 3 strides when 0

	Now func() time.Time // clock for expiry and delays; time.Now when nil
}

// setDefaults replaces zero fields by their defaults.
func (s *EngineSettings) setDefaults() {
	s.Service = cmp.Or(s.Service, "svc")
	s.Version = cmp.Or(s.Version, "v1")
	s.Address = cmp.Or(s.Address, "127.0.0.1:0")
	s.Probe = cmp.Or(s.Probe, "/healthz")
	s.Capacity = cmp.Or(s.Capacity, 8)
	s.KVTokens = cmp.Or(s.KVTokens, 1_000_000)
	s.KVTokenBytes = cmp.Or(s.KVTokenBytes, 163_840)
	s.Stride = cmp.Or(s.Stride, 1)
	s.HandleTTL = cmp.Or(s.HandleTTL, 5*time.Second)
	s.BodyBytes = cmp.Or(s.BodyBytes, 64)
	s.Tokens = cmp.Or(s.Tokens, 3*s.Stride)
	if s.Models == nil && s.Phase != PhaseNone {
		s.Models = []Model{{Name: "m", Ver: 1}}
	}
	if s.Now == nil {
		s.Now = time.Now
	}
}

// Faults are injected faults of an Engine; the zero value has none. They can be changed with Engine.SetFaults at any
// time. A request is subject to the faults that were set when it began.
type Faults struct {
	Fail             int           // run each request and answer it with this status (500 and up); 0 for none
	CutAfter         int           // cut the answer after this many events, or bytes of a plain body; 0 for none
	StallAfter       int           // send nothing more after this many events and keep the connection; 0 for none
	Garble           bool          // send bytes that are not an HTTP response
	Extra            bool          // send another complete answer, with another attempt's id, after each answer
	LoseAnswer       bool          // run the request and close without an answer
	Unresponsive     bool          // read requests and never answer; nothing runs
	Refuse           bool          // reset each new connection
	Draining         bool          // Connection: close in answers, 503 to probes
	TransferSlowdown float64       // factor on the time of transfers; 0 means 1
	SlowBy           time.Duration // added to each step
	InvertProbes     bool          // answer 200 to probes although draining or failing, and 503 although healthy
}

// The states of a backend in the Platform's list.
const (
	StateUp       = "up"
	StateDraining = "draining"
)
