// Package limit limits the requests that a gateway has in flight to a remote gateway: how many, and
// how many bytes of bodies, in total and per class. It adapts the limit to the latency of the answers
// and knows neither connections nor servers.
//
// The package has no I/O, no clock and no goroutines. A Limiter is called from one goroutine or under
// one lock; the sending end of a link calls it under the lock of its peer.
//
// Two algorithms move the window. Gradient follows Netflix's Gradient2 (concurrency-limits, 2018): the
// window is scaled by the ratio of baseline to current latency and grows by a fraction of its square
// root. Unlike Gradient2 it does not grow while answers are slow, and grows by the full square root
// while latency is at its baseline. AIMD is that of Chiu and Jain (1989): one more per round, a tenth
// less after a round that was slow or had a rejection. Latencies are compared only within their class,
// so that a change in the mix of classes is not mistaken for a change of the peer.
package limit

import (
	"fmt"
	"math"
	"time"
)

// The names of the algorithms in the operator's configuration file.
const (
	Fixed    = "fixed"    // the window stays at the limit that both ends agreed on
	AIMD     = "aimd"     // additive increase by one, multiplicative decrease by a tenth
	Gradient = "gradient" // by the ratio of baseline and current latency
)

const (
	// tolerance is the multiple of its baseline up to which a class's mean latency does not shrink the
	// window.
	tolerance = 1.5
	// minFactor is the lowest factor that latency applies to the window in one round, backOff the
	// factor after a round with a rejection or a time-out.
	minFactor, backOff = 0.5, 0.9
	// smoothing is the weight of a round's new window; below steadyRatio latency counts as at its
	// baseline.
	smoothing, steadyRatio = 0.2, 1.1
	// meanWeight is the weight of one answer in the mean of its class.
	meanWeight = 1.0 / 16
	// baselineRise is the time constant, in seconds, with which the baseline rises towards a higher
	// mean while the window can't be the cause of slow answers: it is at its minimum or was not
	// saturated. If the baseline rose under a full window, a standing queue would become the baseline
	// and the window would grow because of it.
	baselineRise = 5.0
	// minRoundSamples is the minimum number of answers in a round; warmupSamples is the number of
	// first answers of a class that only set its baseline and do not move the window.
	minRoundSamples, warmupSamples = 8, 16
	// reserveFraction is the fraction of the peer's limit that a class over its own share leaves free.
	reserveFraction = 1.0 / 8
)

// Class configures one class of requests.
type Class struct {
	Share float64 // guaranteed fraction of the window and of the bytes, 0 to 1
}

// Options configures a Limiter. Windows are in requests.
type Options struct {
	Law           string
	InitialWindow int // before any answer
	MinWindow     int // lower bound of the adaptive algorithms
	MaxWindow     int // upper bound of all algorithms
	Classes       []Class
}

// Result is how a request ended, as far as it says something about the peer.
type Result uint8

// The values of Result.
const (
	Answered Result = iota // answered, successfully or not
	Rejected               // rejected by the peer for lack of capacity
	TimedOut               // no answer within its time-out
	Ignored                // no information: it was cancelled, or its connection was lost
)

// Limiter holds the window of one remote gateway and the requests in flight to it.
type Limiter struct {
	law        string
	minWindow  float64
	maxWindow  float64 // from Options
	peerWindow float64 // requests that the peer accepts at once
	peerBytes  int64   // bytes that the peer buffers; 0: unknown
	window     float64
	total      usage
	classes    []class

	// The current round.
	roundStart      time.Duration
	samples         int
	dropped         bool
	saturated       bool    // the window was reached in this round
	baselineMayRise bool    // the window did not cause the slow answers of the previous round
	ratioSum        float64 // sum over answers of mean latency / baseline of their class
}

// usage counts requests in flight and their bytes.
type usage struct {
	requests int
	bytes    int64
}

type class struct {
	usage
	share       float64
	samples     int
	meanLatency float64       // moving average, seconds
	baseline    float64       // mean latency without queueing, seconds
	lastAnswer  time.Duration // time of the last answer
	rejected    int           // rejected here for lack of room
}

// New returns the Limiter of a peer whose own limits are not yet known.
func New(o Options) (*Limiter, error) {
	if o.Law != Fixed && o.Law != AIMD && o.Law != Gradient {
		return nil, fmt.Errorf("no law %q: must be %s, %s or %s", o.Law, Gradient, AIMD, Fixed)
	}
	l := &Limiter{law: o.Law, minWindow: math.Max(float64(o.MinWindow), 1),
		maxWindow: math.Max(float64(o.MaxWindow), 1), peerWindow: math.Inf(1)}
	sum := 0.0
	for _, c := range o.Classes {
		if !(c.Share >= 0 && c.Share <= 1) {
			return nil, fmt.Errorf("class share must be from 0 to 1, is %v", c.Share)
		}
		sum += c.Share
		l.classes = append(l.classes, class{share: c.Share})
	}
	if sum > 1+1e-9 {
		return nil, fmt.Errorf("class shares add up to %v, must be at most 1", sum)
	}
	l.minWindow = math.Min(l.minWindow, l.maxWindow)
	l.window = l.clamp(float64(o.InitialWindow))
	if o.Law == Fixed {
		l.window = l.maxWindow
	}
	return l, nil
}

func (l *Limiter) clamp(w float64) float64 {
	return math.Max(math.Min(w, math.Min(l.maxWindow, l.peerWindow)), math.Min(l.minWindow, l.peerWindow))
}

// SetPeerLimits applies the limits that the peer announces: requests, and bytes of bodies.
func (l *Limiter) SetPeerLimits(crossings int, bytes int64) {
	l.peerWindow, l.peerBytes = math.Max(float64(crossings), 1), max(bytes, 0)
	l.window = l.clamp(l.window)
	if l.law == Fixed {
		l.window = l.clamp(l.maxWindow)
	}
}

// Window returns how many requests may be in flight.
func (l *Limiter) Window() int { return int(l.window) }

// InFlight returns how many requests and bytes are in flight.
func (l *Limiter) InFlight() (requests int, bytes int64) { return l.total.requests, l.total.bytes }

// ClassInFlight returns how many requests of class c are in flight, and how many Acquire has rejected.
func (l *Limiter) ClassInFlight(c int) (requests, rejections int) {
	if c < 0 || c >= len(l.classes) {
		return 0, 0
	}
	return l.classes[c].requests, l.classes[c].rejected
}

// Acquire counts a request of class c as in flight and reports whether it may be sent. A class within
// its own share is admitted even if other classes have filled the window; those are rejected until the
// total is below the window again. So the total stays below the window plus the unused shares, and
// never exceeds the limits of the peer.
func (l *Limiter) Acquire(c int, bytes int64) bool {
	if c < 0 || c >= len(l.classes) || bytes < 0 {
		return false
	}
	k := &l.classes[c]
	windowFloor := math.Floor(l.window)
	withinShare := float64(k.requests) < math.Ceil(windowFloor*k.share)
	admitted := float64(l.total.requests) < windowFloor || withinShare
	hardLimit := math.Min(l.maxWindow, l.peerWindow)
	if !withinShare {
		hardLimit -= math.Floor(hardLimit * reserveFraction * (1 - k.share))
	}
	admitted = admitted && float64(l.total.requests) < hardLimit
	l.saturated = l.saturated || !admitted || float64(l.total.requests+1) >= windowFloor
	if l.peerBytes > 0 {
		remaining := float64(l.peerBytes - l.total.bytes - bytes)
		if withinShareBytes := float64(k.bytes+bytes) <= float64(l.peerBytes)*k.share; !withinShareBytes {
			remaining -= reserveFraction * float64(l.peerBytes) * (1 - k.share)
		}
		// A request is always admitted when nothing else is in flight, whatever its size: the peer
		// decides whether to accept it.
		admitted = admitted && (remaining >= 0 || l.total.requests == 0)
	}
	if !admitted {
		k.rejected++
		return false
	}
	k.requests++
	k.bytes += bytes
	l.total.requests++
	l.total.bytes += bytes
	return true
}

// Release counts a request admitted by Acquire as finished and updates the window by its result. now
// is the time since a fixed moment and never decreases; took is the time from the offer of the request
// to its end.
func (l *Limiter) Release(c int, bytes int64, now, took time.Duration, res Result) {
	if c < 0 || c >= len(l.classes) || l.classes[c].requests == 0 {
		return
	}
	k := &l.classes[c]
	k.requests--
	k.bytes -= bytes
	l.total.requests--
	l.total.bytes -= bytes
	if l.law == Fixed || res == Ignored {
		return
	}
	switch res {
	case Rejected:
		l.dropped = true
	case TimedOut:
		l.dropped = true
		if k.samples >= warmupSamples { // the full latency would have been higher still
			l.observe(k, now, max(took, 0))
		}
	case Answered:
		l.observe(k, now, max(took, 0))
	}
	l.endRound(now)
}

// observe records the latency of one answer of class k.
func (l *Limiter) observe(k *class, now, took time.Duration) {
	t := math.Max(took.Seconds(), 1e-6)
	passed := math.Min(math.Max((now-k.lastAnswer).Seconds(), 0), 1)
	k.lastAnswer = now
	if k.samples++; k.samples <= warmupSamples {
		k.meanLatency += (t - k.meanLatency) / float64(k.samples)
		k.baseline = k.meanLatency
		return
	}
	k.meanLatency += meanWeight * (t - k.meanLatency)
	switch {
	case k.meanLatency < k.baseline:
		k.baseline += meanWeight * (k.meanLatency - k.baseline)
	case l.baselineMayRise:
		k.baseline = math.Min(k.baseline*math.Exp(passed/baselineRise), k.meanLatency)
	}
	l.samples++
	l.ratioSum += k.meanLatency / k.baseline
}

// endRound ends the current round once it has lasted for the longest mean latency, and moves the
// window.
func (l *Limiter) endRound(now time.Duration) {
	longest := 0.0
	for i := range l.classes {
		longest = math.Max(longest, l.classes[i].meanLatency)
	}
	if now-l.roundStart < time.Duration(longest*float64(time.Second)) || l.samples < minRoundSamples && !l.dropped {
		return
	}
	ratio := 1.0
	if l.samples > 0 {
		ratio = l.ratioSum / float64(l.samples)
	}
	next := l.window
	switch {
	case l.law == AIMD && (l.dropped || ratio > tolerance):
		next *= backOff
	case l.law == AIMD:
		if l.saturated {
			next++
		}
	default:
		switch slope := math.Max(tolerance/ratio, minFactor); {
		case slope < 1:
			next *= 1 - smoothing*(1-slope)
		case l.saturated && ratio < steadyRatio:
			next += math.Sqrt(next)
		case l.saturated: // growing an unsaturated window would have no observable effect
			next += smoothing * math.Sqrt(next)
		}
		if l.dropped {
			next = math.Min(next, l.window*backOff)
		}
	}
	l.baselineMayRise = !l.saturated || l.window <= l.minWindow
	l.window = l.clamp(next)
	l.roundStart, l.samples, l.dropped, l.saturated, l.ratioSum = now, 0, false, false, 0
}
