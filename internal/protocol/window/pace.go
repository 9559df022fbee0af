package window

import "time"

// Pace is how slowly a client may send a body.
type Pace struct {
	Grace time.Duration // at the start, beyond the rate
	Pause time.Duration // with nothing coming, at the most
	Rate  int64         // bytes a second on the mean, at the least; above 0
}

// Until is when the next byte has to have come of a body that began at began, of which so many bytes
// have come, the last of them at last.
func (p Pace) Until(began, last time.Time, came int64) time.Time {
	mean := began.Add(p.Grace + time.Duration(float64(came)/float64(p.Rate)*float64(time.Second)))
	if pause := last.Add(p.Pause); pause.Before(mean) {
		return pause
	}
	return mean
}

// Longest is how long a body of so many bytes may take to come.
func (p Pace) Longest(bytes int64) time.Duration {
	return p.Grace + time.Duration(float64(bytes)/float64(p.Rate)*float64(time.Second))
}

const (
	// Short is the most that is held whole, in bytes, and may be sent again.
	Short = 64 << 10
	// Most bounds a body or an answer, in bytes.
	Most = 32 << 20
	// HoldFor is how long an answer of unknown length is held that may be short.
	HoldFor = 100 * time.Millisecond
)

// Hold tells whether an answer is held until it is whole, where length is what it is said to have
// (below 0: it is not said), held what has come, and since how long ago its head came. One that is
// not is passed on as it comes.
func Hold(length int64, held int, since time.Duration) bool {
	if length >= 0 {
		return length <= Short
	}
	return held <= Short && since < HoldFor
}
