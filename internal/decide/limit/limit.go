// Package limit decides how much may be out to a far gateway at once: how many crossings and
// bytes, of them all and of each class. It follows what the far end bears by its answers, and
// knows neither links nor servers.
//
// It has no I/O, no clock and no goroutine of its own. Whoever owns a Limits calls it from one
// goroutine or under one lock; here the near end of a link, under the lock of its peer.
//
// Two laws move the window. Gradient is after Netflix's Gradient2 (concurrency-limits, 2018): the
// window follows how far answers are from their calm time, and grows by a part of its root; other
// than there it does not grow while answers are slow, and grows by the whole root while they are
// calm. AIMD is Chiu and Jain's (1989): one more a round, a tenth less where a round was slow or
// turned away. Answer times are compared within their class only, so that a change
// of the mix is not taken for a change of the far end.
package limit

import (
	"fmt"
	"math"
	"time"
)

// The laws by their names in an operator's file.
const (
	Fixed    = "fixed"    // the window stays at what the two ends have agreed
	AIMD     = "aimd"     // one more, or a tenth less
	Gradient = "gradient" // by the ratio of calm and present answer times
)

const (
	// tolerance is how many times its calm time a class's mean answer may take.
	tolerance = 1.5
	// steepest is the least factor of one round, backOff that of a round with a drop.
	steepest, backOff = 0.5, 0.9
	// step is the weight of a round's new window; calmRatio is what counts as calm.
	step, calmRatio = 0.2, 1.1
	// meanWeight is the weight of one answer in its class's mean.
	meanWeight = 1.0 / 16
	// calmRise is in how many seconds calm grows e-fold towards a mean above it, while the window
	// can't be what makes answers slow: it is at its least, or was not reached. Were calm to rise
	// under a full window, a queue that lasts would become the measure and the window grow on it.
	calmRise = 5.0
	// roundAnswers are the least answers of a round, learnAnswers a class's first ones, which
	// set its calm and move nothing.
	roundAnswers, learnAnswers = 8, 16
	// spare is the part of what the far end takes that a class over its own part leaves free.
	spare = 1.0 / 8
)

// Class is what one class may count on.
type Class struct {
	Part float64 // of the window and the bytes that is its own, 0 to 1
}

// Options is what a Limits is made of.
type Options struct {
	Law     string
	Start   int // crossings, before anything is known
	Least   int // crossings that the law leaves
	Most    int // crossings that the law may let out
	Classes []Class
}

// Result is how a crossing ended, as far as it tells of the far end.
type Result uint8

// The results.
const (
	Answered Result = iota // with an answer, good or not
	Turned                 // turned away: the far end has no room
	Overdue                // no answer came in its time
	Silent                 // nothing is known: it was withdrawn, or its link is lost
)

// Limits is the window of one far gateway.
type Limits struct {
	law       string
	least     float64
	most      float64 // of the options
	agreed    float64 // what the far end takes
	bytesMost int64   // what it holds; 0: not told
	window    float64
	all       use
	classes   []class

	// The round under way.
	began   time.Duration
	answers int
	dropped bool
	full    bool    // the window was reached in it
	lasting bool    // the one before: slow answers are not the window's doing
	worst   float64 // weighted sum of classes' ratios
}

// use is what is out.
type use struct {
	n     int
	bytes int64
}

type class struct {
	use
	part  float64
	seen  int
	mean  float64       // answer time, of late; seconds
	calm  float64       // the same while nothing is crowded
	at    time.Duration // its last answer
	turns int           // turned away here for want of room
}

// New makes the limits of a far gateway that has told nothing yet.
func New(o Options) (*Limits, error) {
	if o.Law != Fixed && o.Law != AIMD && o.Law != Gradient {
		return nil, fmt.Errorf("no law %q: %s, %s or %s", o.Law, Gradient, AIMD, Fixed)
	}
	l := &Limits{law: o.Law, least: math.Max(float64(o.Least), 1), most: math.Max(float64(o.Most), 1), agreed: math.Inf(1)}
	sum := 0.0
	for _, c := range o.Classes {
		if !(c.Part >= 0 && c.Part <= 1) {
			return nil, fmt.Errorf("a part must be from 0 to 1, is %v", c.Part)
		}
		sum += c.Part
		l.classes = append(l.classes, class{part: c.Part})
	}
	if sum > 1+1e-9 {
		return nil, fmt.Errorf("the parts add up to %v, more than 1", sum)
	}
	l.least = math.Min(l.least, l.most)
	l.window = l.clamp(float64(o.Start))
	if o.Law == Fixed {
		l.window = l.most
	}
	return l, nil
}

func (l *Limits) clamp(w float64) float64 {
	return math.Max(math.Min(w, math.Min(l.most, l.agreed)), math.Min(l.least, l.agreed))
}

// Agree takes what the far end says that it takes: crossings and bytes of bodies.
func (l *Limits) Agree(crossings int, bytes int64) {
	l.agreed, l.bytesMost = math.Max(float64(crossings), 1), max(bytes, 0)
	l.window = l.clamp(l.window)
	if l.law == Fixed {
		l.window = l.clamp(l.most)
	}
}

// Window is how many crossings may be out.
func (l *Limits) Window() int { return int(l.window) }

// Out is how many crossings and bytes are out.
func (l *Limits) Out() (n int, bytes int64) { return l.all.n, l.all.bytes }

// OutOf is how many crossings of a class are out, and how many have found no room.
func (l *Limits) OutOf(c int) (n, turned int) {
	if c < 0 || c >= len(l.classes) {
		return 0, 0
	}
	return l.classes[c].n, l.classes[c].turns
}

// Take asks to let a crossing out and counts it if that may be. A class within its own part
// has room even where others have filled the window: those find none until the window holds
// again. So all together stay under the window and the parts that were not in use, and never
// over what the far end takes.
func (l *Limits) Take(c int, bytes int64) bool {
	if c < 0 || c >= len(l.classes) || bytes < 0 {
		return false
	}
	k := &l.classes[c]
	w := math.Floor(l.window)
	own := float64(k.n) < math.Ceil(w*k.part)
	room := float64(l.all.n) < w || own
	hard := math.Min(l.most, l.agreed)
	if !own {
		hard -= math.Floor(hard * spare * (1 - k.part))
	}
	room = room && float64(l.all.n) < hard
	l.full = l.full || !room || float64(l.all.n+1) >= w
	if l.bytesMost > 0 {
		left := float64(l.bytesMost - l.all.bytes - bytes)
		if ownBytes := float64(k.bytes+bytes) <= float64(l.bytesMost)*k.part; !ownBytes {
			left -= spare * float64(l.bytesMost) * (1 - k.part)
		}
		// One that is alone is let out whatever its size: the far end has the last word.
		room = room && (left >= 0 || l.all.n == 0)
	}
	if !room {
		k.turns++
		return false
	}
	k.n++
	k.bytes += bytes
	l.all.n++
	l.all.bytes += bytes
	return true
}

// Done gives back what Take let out and learns from how it ended. now is since any fixed
// moment and does not run backwards; took is from its offer to its end.
func (l *Limits) Done(c int, bytes int64, now, took time.Duration, res Result) {
	if c < 0 || c >= len(l.classes) || l.classes[c].n == 0 {
		return
	}
	k := &l.classes[c]
	k.n--
	k.bytes -= bytes
	l.all.n--
	l.all.bytes -= bytes
	if l.law == Fixed || res == Silent {
		return
	}
	switch res {
	case Turned:
		l.dropped = true
	case Overdue:
		l.dropped = true
		if k.seen >= learnAnswers { // it would have taken longer still
			l.time(k, now, max(took, 0))
		}
	case Answered:
		l.time(k, now, max(took, 0))
	}
	l.round(now)
}

// time notes an answer time.
func (l *Limits) time(k *class, now, took time.Duration) {
	t := math.Max(took.Seconds(), 1e-6)
	passed := math.Min(math.Max((now-k.at).Seconds(), 0), 1)
	k.at = now
	if k.seen++; k.seen <= learnAnswers {
		k.mean += (t - k.mean) / float64(k.seen)
		k.calm = k.mean
		return
	}
	k.mean += meanWeight * (t - k.mean)
	switch {
	case k.mean < k.calm:
		k.calm += meanWeight * (k.mean - k.calm)
	case l.lasting:
		k.calm = math.Min(k.calm*math.Exp(passed/calmRise), k.mean)
	}
	l.answers++
	l.worst += k.mean / k.calm
}

// round ends the round under way if it has lasted for an answer time, and moves the window.
func (l *Limits) round(now time.Duration) {
	longest := 0.0
	for i := range l.classes {
		longest = math.Max(longest, l.classes[i].mean)
	}
	if now-l.began < time.Duration(longest*float64(time.Second)) || l.answers < roundAnswers && !l.dropped {
		return
	}
	ratio := 1.0
	if l.answers > 0 {
		ratio = l.worst / float64(l.answers)
	}
	next := l.window
	switch {
	case l.law == AIMD && (l.dropped || ratio > tolerance):
		next *= backOff
	case l.law == AIMD:
		if l.full {
			next++
		}
	default:
		switch slope := math.Max(tolerance/ratio, steepest); {
		case slope < 1:
			next *= 1 - step*(1-slope)
		case l.full && ratio < calmRatio:
			next += math.Sqrt(next)
		case l.full: // else more room would tell nothing
			next += step * math.Sqrt(next)
		}
		if l.dropped {
			next = math.Min(next, l.window*backOff)
		}
	}
	l.lasting = !l.full || l.window <= l.least
	l.window = l.clamp(next)
	l.began, l.answers, l.dropped, l.full, l.worst = now, 0, false, false, 0
}
