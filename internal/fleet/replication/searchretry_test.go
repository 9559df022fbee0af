package replication

import (
	"fmt"
	"slices"
)

// A requested or retried change is compared with the primary's record first, as in the control plane: one that is
// already in the record is acknowledged, and one on another base is refused, both only once that record is confirmed by
// a read. Otherwise the change is proposed. A change's base is the number of changes acknowledged when it was first
// requested.

// judgement is the result of comparing a change with a record.
type judgement uint8

const (
	fits judgement = iota
	knownAlready
	staleBase
)

// judge compares a change with a record.
func judge(log []string, change, base uint64) judgement {
	switch {
	case slices.Contains(log, changeBody(change)):
		return knownAlready
	case uint64(len(log)) != base:
		return staleBase
	}
	return fits
}

func changeBody(change uint64) string { return fmt.Sprint("w", change) }

// orderArg returns a step's argument: a change, its base, and a serial number that distinguishes the attempts.
func orderArg(change, base, serial uint64) uint64 { return change | base<<8 | serial<<16 }

func orderOfArg(arg uint32) (change, base uint64) { return uint64(arg & 0xff), uint64(arg >> 8 & 0xff) }

const retryTokens = 1 << 20 // above the tokens of changes and reads

// retry is a judgement that awaits its confirmation by a read.
type retry struct {
	token, change, at uint64
	judgement         judgement
}

// retry proposes a change at a primary, or begins a read that confirms the judgement of its record.
func (x *explorer) retry(c *cell, arg uint32) (Output, bool) {
	if !c.m.primary.active {
		return Output{}, false
	}
	change, base := orderOfArg(arg)
	if judge(c.app.log, change, base) == fits {
		return c.m.Propose(c.clock(), change, []byte(changeBody(change))), true
	}
	return c.m.Read(c.clock(), retryTokens+uint64(arg)), true
}

// recordRetry records a request for a change at the primary in c, whose state is that before the request.
func (g *ghost) recordRetry(c *cell, arg uint32) {
	change, base := orderOfArg(arg)
	g.asked++
	if change > g.writes {
		g.writes = change
		g.bases = append(slices.Clip(g.bases), base)
	}
	if j := judge(c.app.log, change, base); j != fits {
		g.retries = append(slices.Clip(g.retries), retry{retryTokens + uint64(arg), change, uint64(len(c.app.log)), j})
	}
}

// confirmRetry processes the confirmation of judgements, and returns the rule that an acknowledgement violates, if any.
func (g *ghost) confirmRetry(a Answer, epoch uint64) string {
	for _, r := range g.retries {
		if r.token != a.Token || a.Seq < r.at {
			continue
		}
		if r.judgement == staleBase {
			g.refused = append(slices.Clip(g.refused), r.change)
			continue
		}
		at := slices.Index(g.committed, changeBody(r.change))
		if at < 0 || uint64(at) >= a.Seq {
			return fmt.Sprintf("w%d is acknowledged again but isn't committed", r.change)
		}
		g.acked = append(slices.Clip(g.acked), ack{uint64(at) + 1, epoch})
	}
	return ""
}

// refusals returns a violation if a refused change is committed.
func (g *ghost) refusals() string {
	for _, change := range g.refused {
		if slices.Contains(g.committed, changeBody(change)) {
			return fmt.Sprintf("w%d was refused and is committed", change)
		}
	}
	return ""
}
