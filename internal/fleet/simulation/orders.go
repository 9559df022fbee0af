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

// orders is what a backend remembers of orders until it restarts: a state machine without lock or clock.
type orders struct {
	fencing bool
	phase   Phase
	next    Phase // of the order under way
	util    bool  // an order is under way
	seqno   int   // orders taken
	fence   int64 // highest gen seen
	fenced  bool
}

// parseOrder reads an order's body; ok is false when the answer is 400.
func parseOrder(body []byte) (o orderBody, ok bool) {
	if json.Unmarshal(body, &o) != nil || o.Owner == nil || *o.Owner == "" || o.Gen == nil {
		return o, false
	}
	return o, o.Opcode == "phase" && (o.Phase == PhasePrefill || o.Phase == PhaseDecode)
}

// take judges an order that could be read and returns the status of its answer. After 202 the order is under way, until
// done is called. An order for what is under way already gets 202 again and is not counted twice (ours).
func (s *orders) take(o orderBody) int {
	switch {
	case s.phase == PhaseNone:
		return http.StatusBadRequest
	case s.fencing && s.fenced && *o.Gen < s.fence:
		return http.StatusPreconditionFailed
	}
	if !s.fenced || *o.Gen > s.fence {
		s.fence, s.fenced = *o.Gen, true
	}
	switch {
	case o.Expect != nil && *o.Expect != s.seqno:
		return http.StatusConflict
	case s.util && o.Phase == s.next:
		return http.StatusAccepted
	case s.util:
		return http.StatusConflict
	case o.Phase == s.phase:
		return http.StatusOK
	}
	s.util, s.next = true, o.Phase
	s.seqno++
	return http.StatusAccepted
}

// done ends the order under way.
func (s *orders) done() {
	s.util, s.phase = false, s.next
}
