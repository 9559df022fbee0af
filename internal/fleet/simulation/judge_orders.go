package simulation

import (
	"cmp"
	"net/http"
	"slices"
	"time"
)

// maxOrdersAfterFencing is how many orders a holder may still give with a fencing token that was rejected, later than
// a lease after that: the rule counts more than three.
const maxOrdersAfterFencing = 3

// checkOrders judges ONE and Duty by the orders that reached backends: of two holders with one fencing token, of
// lower tokens after higher ones where a backend doesn't check, and of holders that go on after they were fenced.
func (o *observations) checkOrders(orders []Entry) {
	slices.SortFunc(orders, func(a, b Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	o.checkOneHolder(orders)
	o.checkRisingTokens(orders)
	o.checkTurns(orders)
	o.checkFencedHolders(orders)
}

// checkOneHolder judges that a fencing token has one holder.
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

// checkRisingTokens judges that no backend that doesn't check them takes a lower token after a higher one.
func (o *observations) checkRisingTokens(orders []Entry) {
	highest := map[string]int64{} // by id of the backend
	for i := range orders {
		en := &orders[i]
		if en.Status == http.StatusPreconditionFailed {
			continue // it checks
		}
		if en.Gen < highest[en.Engine] {
			o.reportAtEngine(ONE, en, "the fencing token %d after %d", en.Gen, highest[en.Engine])
		}
		highest[en.Engine] = max(highest[en.Engine], en.Gen)
	}
}

// checkTurns judges that holders don't take turns at a backend within a lease: that of the one before is over.
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

// checkFencedHolders judges Duty: a holder that a backend rejected, since another had used a higher token, gives more
// than maxOrdersAfterFencing orders with the same token or a lower one later than a lease after that.
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
