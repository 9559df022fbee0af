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

// orderState is a backend's state of phase orders, which is lost at a restart: a state machine without lock or clock.
// An order changes the phase; it is pending until the running requests have ended.
type orderState struct {
	fencing      bool
	phase        Phase
	target       Phase // phase of the pending order
	pending      bool  // an order is pending
	seqno        int   // orders accepted
	fencingToken int64 // highest gen seen, if tokenSeen
	tokenSeen    bool
}

// parseOrder returns an order's body; ok is false when it isn't valid, which is answered with 400.
func parseOrder(body []byte) (o orderBody, ok bool) {
	if json.Unmarshal(body, &o) != nil || o.Owner == nil || *o.Owner == "" || o.Gen == nil {
		return o, false
	}
	return o, o.Opcode == "phase" && (o.Phase == PhasePrefill || o.Phase == PhaseDecode)
}

// accept decides on a valid order and returns the status of the answer. After 202 the order is pending until complete
// is called. A repeated order for the pending phase gets 202 again and isn't counted twice (ours).
//
// A gen lower than one seen is rejected with 412 when fencing is on: its sender has lost its lease to a later one.
func (s *orderState) accept(o orderBody) int {
	switch {
	case s.phase == PhaseNone:
		return http.StatusBadRequest
	case s.fencing && s.tokenSeen && *o.Gen < s.fencingToken:
		return http.StatusPreconditionFailed
	}
	if !s.tokenSeen || *o.Gen > s.fencingToken {
		s.fencingToken = *o.Gen
		s.tokenSeen = true
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
	s.pending = true
	s.target = o.Phase
	s.seqno++
	return http.StatusAccepted
}

// complete ends the pending order: its phase is in force.
func (s *orderState) complete() {
	s.pending = false
	s.phase = s.target
}
