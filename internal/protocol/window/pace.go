package window

import "time"

// Pace sets how slowly a client may send a body.
type Pace struct {
	Grace time.Duration // allowance at the start, on top of the rate
	Pause time.Duration // longest time without a byte
	Rate  int64         // least mean rate in bytes per second; above 0
}

// Until returns the deadline for the next byte of a body that began at began and of which came bytes have been
// received, the last of them at last.
func (p Pace) Until(began, last time.Time, came int64) time.Time {
	mean := began.Add(p.Grace + time.Duration(float64(came)/float64(p.Rate)*float64(time.Second)))
	if pause := last.Add(p.Pause); pause.Before(mean) {
		return pause
	}
	return mean
}

// Longest returns the longest time that a body of the given length may take.
func (p Pace) Longest(bytes int64) time.Duration {
	return p.Grace + time.Duration(float64(bytes)/float64(p.Rate)*float64(time.Second))
}

const (
	// Short is the longest body that is held in memory completely, in bytes, and can be sent again.
	Short = 64 << 10
	// Most bounds the length of a body or an answer, in bytes.
	Most = 32 << 20
	// HoldFor bounds how long an answer of unknown length is held while it may still be short.
	HoldFor = 100 * time.Millisecond
)

// Hold reports whether an answer is held until it is complete; otherwise it is streamed. length is its declared length
// (negative: unknown), held the number of bytes received, and since the time since its header arrived.
func Hold(length int64, held int, since time.Duration) bool {
	if length >= 0 {
		return length <= Short
	}
	return held <= Short && since < HoldFor
}
