package simulation

import (
	"encoding/json"
	"net/http"
)

// orderBody is the body of POST /molepaddle/order.
type orderBody struct {
	Opcode string  `json:"opcode"`
	Phase  Phase   `json:"phase"`
	Owner  *string `json:"owner"`
	Gen    *int64  `json:"gen"`
	Expect *int    `json:"expect"`
}

// orderState is what a backend remembers of orders until it restarts: a state machine without lock or clock.
type orderState struct {
	fencing      bool
	phase        Phase
	target       Phase // of the order under way
	pending      bool  // an order is under way
	seqno        int   // orders taken
	fencingToken int64 // highest gen seen
	tokenSeen    bool
}

// parseOrder reads an order's body; ok is false when the answer is 400.
func parseOrder(body []byte) (o orderBody, ok bool) {
	if json.Unmarshal(body, &o) != nil || o.Owner == nil || *o.Owner == "" || o.Gen == nil {
		return o, false
	}
	return o, o.Opcode == "phase" && (o.Phase == PhasePrefill || o.Phase == PhaseDecode)
}

// accept judges an order that could be read and returns the status of its answer. After 202 the order is under way, until
// done is called. An order for what is under way already gets 202 again and is not counted twice (ours).
func (s *orderState) accept(o orderBody) int {
	switch {
	case s.phase == PhaseNone:
		return http.StatusBadRequest
	case s.fencing && s.tokenSeen && *o.Gen < s.fencingToken:
		return http.StatusPreconditionFailed
	}
	if !s.tokenSeen || *o.Gen > s.fencingToken {
		s.fencingToken, s.tokenSeen = *o.Gen, true
	}
	switch {
	case o.Expect != nil && *o.Expect != s.seqno:
		return http.StatusConflict
	case s.pending && o.Phase == s.target:
		return http.StatusAccepted
	case s.pending:
		return http.StatusConflict
	case o.Phase == s.phase:
		return http.StatusOK
	}
	s.pending, s.target = true, o.Phase
	s.seqno++
	return http.StatusAccepted
}

// complete ends the order under way.
func (s *orderState) complete() {
	s.pending, s.phase = false, s.target
}
