package gateway

import (
	"testing"
	"time"

	"molepaddle/internal/core"
	"molepaddle/internal/protocol/link"
)

// A lease is shortened by the estimated delay of the answer.
func TestLeaseLeavesTheWayBack(t *testing.T) {
	a := core.NewAttempt(t.Context(), &core.Request{}, 10*time.Second, func(core.Result) {})
	st := link.State{PeerClock: 7, PeerClockAt: time.Now()}
	near, ok := leaseOf(a, st, 1)
	st.ReturnDelay = 100 * time.Millisecond
	far, okToo := leaseOf(a, st, 1)
	if less := time.Duration(near.Life-far.Life) * time.Microsecond; !ok || !okToo || less < 90*time.Millisecond ||
		less > 5*time.Second {
		t.Errorf("with a way back of 100 ms the lease is %v shorter", less)
	}
}
