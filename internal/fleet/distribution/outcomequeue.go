package distribution

import "sync"

// maxOutcomeReports bounds the reports that an OutcomeQueue holds; beyond it the oldest are dropped.
const maxOutcomeReports = 4096

// OutcomeQueue holds reports of outcomes until they are pushed to the next server or used. Reports that are lost with a
// process are compensated by later ones. It is safe for use by many goroutines.
type OutcomeQueue struct {
	mu      sync.Mutex
	reports []OutcomeReport
	arrived chan struct{} // holds one value while there are reports
}

// NewOutcomeQueue returns an empty queue.
func NewOutcomeQueue() *OutcomeQueue { return &OutcomeQueue{arrived: make(chan struct{}, 1)} }

// Put adds reports, and drops the oldest beyond maxOutcomeReports.
func (q *OutcomeQueue) Put(reports ...OutcomeReport) {
	if len(reports) == 0 {
		return
	}
	q.mu.Lock()
	q.reports = append(q.reports, reports...)
	if over := len(q.reports) - maxOutcomeReports; over > 0 {
		q.reports = append(q.reports[:0:0], q.reports[over:]...)
	}
	q.mu.Unlock()
	select {
	case q.arrived <- struct{}{}:
	default:
	}
}

// Take returns the reports and removes them.
func (q *OutcomeQueue) Take() []OutcomeReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	reports := q.reports
	q.reports = nil
	return reports
}

// Arrived returns a channel that receives a value when there are reports; for one receiver at a time.
func (q *OutcomeQueue) Arrived() <-chan struct{} { return q.arrived }
