package simulation

import (
	"cmp"
	"net/http"
	"slices"
	"time"
)

// maxOrdersAfterFencing is the number of orders that an owner may still send with a rejected fencing token later than a
// lease after the rejection: the rule is broken by more than three.
const maxOrdersAfterFencing = 3

// checkOrders judges ONE and Duty by the orders that reached backends: two owners with the same fencing token, lower
// tokens after higher ones at a backend that doesn't check them, and owners that continue after they were fenced.
func (o *observations) checkOrders(orders []Entry) {
	slices.SortFunc(orders, func(a, b Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	o.checkOneHolder(orders)
	o.checkRisingTokens(orders)
	o.checkTurns(orders)
	o.checkFencedHolders(orders)
}

// checkOneHolder judges that a fencing token has one owner.
func (o *observations) checkOneHolder(orders []Entry) {
	holders := map[int64]string{}
	for i := range orders {
		en := &orders[i]
		holder, known := holders[en.Gen]
		if !known {
			holders[en.Gen] = en.Owner
			continue
		}
		if holder != en.Owner {
			o.reportAtEngine(ONE, en, "%s and %s both hold the fencing token %d", holder, en.Owner, en.Gen)
		}
	}
}

// checkRisingTokens judges that a backend that doesn't check tokens gets no lower token after a higher one.
func (o *observations) checkRisingTokens(orders []Entry) {
	highest := map[string]int64{} // by id of the backend
	for i := range orders {
		en := &orders[i]
		if en.Status == http.StatusPreconditionFailed {
			continue // the backend checks tokens
		}
		if en.Gen < highest[en.Engine] {
			o.reportAtEngine(ONE, en, "the fencing token %d after %d", en.Gen, highest[en.Engine])
		}
		highest[en.Engine] = max(highest[en.Engine], en.Gen)
	}
}

// checkTurns judges that two owners don't alternate at a backend within a lease: the lease of the previous one must
// have expired.
func (o *observations) checkTurns(orders []Entry) {
	last := map[string]*Entry{} // by id of the backend
	for i := range orders {
		en := &orders[i]
		before := last[en.Engine]
		last[en.Engine] = en
		if before == nil || before.Owner == en.Owner || o.bounds.Lease <= 0 {
			continue
		}
		if apart := en.At.Sub(before.At); apart < o.bounds.Lease {
			o.reportAtEngine(ONE, en, "%s gives an order %v after %s", en.Owner, apart, before.Owner)
		}
	}
}

// checkFencedHolders judges Duty: it is broken if an owner, after a backend rejected it because of a higher token,
// sends more than maxOrdersAfterFencing orders with the same token or a lower one later than a lease after the
// rejection.
func (o *observations) checkFencedHolders(orders []Entry) {
	type fencing struct {
		token int64
		at    time.Time
		after int // orders since, later than a lease
	}
	fenced := map[string]*fencing{} // by owner
	for i := range orders {
		en := &orders[i]
		f := fenced[en.Owner]
		if f != nil && en.Gen <= f.token && en.At.Sub(f.at) > o.bounds.Lease {
			f.after++
			if f.after == maxOrdersAfterFencing+1 {
				o.reportAtEngine(FENCED, en, "%s still gives orders with the token %d, which was rejected %v before",
					en.Owner, en.Gen, en.At.Sub(f.at))
			}
		}
		if en.Status == http.StatusPreconditionFailed && (f == nil || en.Gen > f.token) {
			fenced[en.Owner] = &fencing{token: en.Gen, at: en.At}
		}
	}
}
