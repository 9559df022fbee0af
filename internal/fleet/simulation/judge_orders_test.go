package simulation

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// orderAt returns an order of an owner with a fencing token, sent some ms after the beginning.
func orderAt(ms int, owner string, token int64, status int) Entry {
	return Entry{
		Seq:    uint64(ms) + 1,
		At:     time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond),
		Kind:   KindOrder,
		Engine: "e0",
		Owner:  owner,
		Gen:    token,
		Status: status,
	}
}

// at returns an order that reached another backend.
func (en Entry) at(engine string) Entry {
	en.Engine = engine
	return en
}

// TestJudgeOrders: for each way to break ONE and Duty, the breach is found, and the closest case that keeps the rule is
// not.
func TestJudgeOrders(t *testing.T) {
	const taken, rejected = http.StatusAccepted, http.StatusPreconditionFailed
	fencedThen := func(late ...int) []Entry {
		orders := []Entry{orderAt(0, "b", 9, taken), orderAt(4000, "a", 8, rejected)}
		for _, ms := range late {
			orders = append(orders, orderAt(ms, "a", 8, rejected))
		}
		return orders
	}
	for _, tc := range []struct {
		name   string
		orders []Entry
		want   []Rule
	}{
		{"two holders of one token", []Entry{orderAt(0, "a", 4, taken), orderAt(9000, "b", 4, taken)}, []Rule{ONE}},
		{"two holders of two tokens", []Entry{orderAt(0, "a", 4, taken), orderAt(9000, "b", 5, taken)}, []Rule{}},
		{"two holders of one token at two backends",
			[]Entry{orderAt(0, "a", 4, taken), orderAt(9000, "b", 4, taken).at("e1")}, []Rule{ONE}},
		{"a lower token", []Entry{orderAt(0, "a", 4, taken), orderAt(9000, "a", 3, taken)}, []Rule{ONE}},
		{"a lower token elsewhere", []Entry{orderAt(0, "a", 4, taken), orderAt(9000, "a", 3, taken).at("e1")}, []Rule{}},
		{"a lower token that is rejected", []Entry{orderAt(0, "a", 4, taken), orderAt(9000, "a", 3, rejected)}, []Rule{}},
		{"turns within a lease", []Entry{orderAt(0, "a", 4, taken), orderAt(2999, "b", 5, taken)}, []Rule{ONE}},
		{"turns a lease apart", []Entry{orderAt(0, "a", 4, taken), orderAt(3000, "b", 5, taken)}, []Rule{}},
		{"one holder within a lease", []Entry{orderAt(0, "a", 4, taken), orderAt(1, "a", 4, taken)}, []Rule{}},
		{"four orders after the lease of a rejection", fencedThen(7100, 7200, 7300, 7400), []Rule{FENCED}},
		{"three orders after the lease of a rejection", fencedThen(7100, 7200, 7300), []Rule{}},
		{"four orders within the lease of a rejection", fencedThen(5000, 5500, 6000, 6999), []Rule{}},
		{"a higher token after a rejection", append(fencedThen(),
			orderAt(8000, "a", 10, taken), orderAt(8100, "a", 10, taken),
			orderAt(8200, "a", 10, taken), orderAt(8300, "a", 10, taken)), []Rule{}},
	} {
		j := Judge{Bounds: Bounds{Lease: 3 * time.Second}, Orders: tc.orders}
		findings := j.Findings()
		qt.Check(t, rules(findings), qt.DeepEquals, tc.want, qt.Commentf("%s: %v", tc.name, findings))
	}
}
