package model

// event is a scheduled simulation event. Frequent kinds carry their data by value, the others a
// function.
type event struct {
	at   float64 // ms
	seq  uint64  // order among events of the same time
	kind eventKind
	n    int32
	att  *attempt
	do   func()
}

// queue is a four-ary heap of events: half as deep as a binary one, with the children of a node
// adjacent in memory. The zero queue is empty.
type queue struct {
	heap []event
	seq  uint64
}

func (q *queue) Len() int { return len(q.heap) }

func before(a, b *event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

// push adds an event after all those of the same time.
func (q *queue) push(e event) {
	q.seq++
	e.seq = q.seq
	q.heap = append(q.heap, e)
	i := len(q.heap) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !before(&e, &q.heap[up]) {
			break
		}
		q.heap[i] = q.heap[up]
		i = up
	}
	q.heap[i] = e
}

// pop removes and returns the next event. The queue must not be empty.
func (q *queue) pop() event {
	top := q.heap[0]
	last := len(q.heap) - 1
	e := q.heap[last]
	q.heap[last] = event{}
	q.heap = q.heap[:last]
	if last == 0 {
		return top
	}
	i := 0
	for {
		first := 4*i + 1
		if first >= last {
			break
		}
		least := first
		for c := first + 1; c < min(first+4, last); c++ {
			if before(&q.heap[c], &q.heap[least]) {
				least = c
			}
		}
		if !before(&q.heap[least], &e) {
			break
		}
		q.heap[i] = q.heap[least]
		i = least
	}
	q.heap[i] = e
	return top
}
