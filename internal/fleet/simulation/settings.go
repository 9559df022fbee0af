package simulation

import "time"

// Phase is the part that a backend has in serving a prompt.
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
	Ver   int      `json:"ver"`
	LoRAs []string `json:"loras"`
}

// EngineSettings say what an Engine is. The zero value of each field stands for what its line says.
type EngineSettings struct {
	ID      string // id of the incarnation; drawn when empty
	Service string // name of the service; "svc" when empty
	Zone    string // az in the list
	Region  string // for moves between regions and for Judge
	Version string // ver in the list (of its software); "v1" when empty
	Address string // IP:PORT to listen at; "127.0.0.1:0" when empty

	Phase     Phase
	Probe     string // path of health checks; "/healthz" when empty
	Capacity  int    // requests at work at once; 8 when 0
	Queue     int    // requests that may wait; 0 for none
	MaxConn   int    // connections taken from all callers; 0 for no bound
	KeepAlive int    // seconds told in Keep-Alive and kept for idle connections; 0 for neither
	HideLoad  bool   // leave out X-Molepaddle-Backend-Load
	NoReport  bool   // answer 404 to GET /molepaddle/report: nobody who orders phases knows how it stands

	KVTokens     int           // kv_ntok: memory in tokens; 1,000,000 when 0
	KVTokenBytes int           // kv_tok_bytes; 163,840 when 0
	Bandwidth    float64       // bw_mbps of moves; moves take no time when 0
	Stream       bool          // answer with streams although Phase is none
	Stride       int           // tokens in one event; 1 when 0
	Models       []Model       // [{m 1 []}] when nil and Phase is set
	KVRef        time.Duration // kv_ref_s: how long a handle is kept; 5 s when 0
	Swap         time.Duration // swap_s: how long a phase order takes after the last request ended
	Fencing      bool          // refuse orders under a lower gen with 412

	Step      time.Duration // time of one event, or the work of a plain request; 0 for none
	TokenRead time.Duration // time to read one prompt token at a prefill backend, twice that at decode; 0 for none
	BodyBytes int           // length of a plain answer's body; 64 when 0
	Tokens    int           // tokens of a stream when X-Molepaddle-Token-Count is absent; 3 strides when 0

	Now func() time.Time // clock for lapse and lag; time.Now when nil
}

// Faults switch an Engine's troubles. The zero value has none. Set them with Engine.SetFaults at any time; a request
// meets those that stood when it began.
type Faults struct {
	Fail             int           // run each request and answer it with this status (500 and up); 0 for none
	CutAfter         int           // cut the answer after this many events, or bytes of a plain body; 0 for none
	StallAfter       int           // send nothing more after this many events and keep the connection; 0 for none
	Garble           bool          // send bytes that are no answer
	Extra            bool          // send another whole answer, with another attempt's id, after each answer
	LoseAnswer       bool          // run the request and close without an answer
	Silent           bool          // read requests and never answer; nothing runs
	Refuse           bool          // reset each new connection
	Draining         bool          // Connection: close in answers, 503 to probes
	TransferSlowdown float64       // factor on the time of moves; 0 stands for 1
	SlowBy           time.Duration // added to each step
	InvertProbes     bool          // answer 200 to probes although draining or failing, and 503 although well
}

// Platform's states of a backend.
const (
	StateUp       = "up"
	StateDraining = "draining"
)
