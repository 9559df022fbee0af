package replication

import (
	"fmt"
	"slices"
)

// A change that is asked for, also once more, is judged by the record of the machine that leads, as the control plane
// does it: one that is there already is acknowledged, one on another base is refused, both only when what it was judged
// by is confirmed; else it is proposed. A change's base is how many changes were acknowledged when it was first asked
// for.

// judgement is what a record says about a change.
type judgement uint8

const (
	fits judgement = iota
	knownAlready
	onAnotherBase
)

// judge looks a change up in a record.
func judge(log []string, change, base uint64) judgement {
	switch {
	case slices.Contains(log, changeBody(change)):
		return knownAlready
	case uint64(len(log)) != base:
		return onAnotherBase
	}
	return fits
}

func changeBody(change uint64) string { return fmt.Sprint("w", change) }

// orderArg is a step's argument: a change, its base, and a serial number that tells the attempts apart.
func orderArg(change, base, serial uint64) uint64 { return change | base<<8 | serial<<16 }

func orderOfArg(arg uint32) (change, base uint64) { return uint64(arg & 0xff), uint64(arg >> 8 & 0xff) }

const retryTokens = 1 << 20 // above those of changes and reads

// retry is a judgement that waits for its confirmation.
type retry struct {
	token, change, at uint64
	judgement         judgement
}

// retry has a primary judge a change.
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

// ask notes that the primary in c, as it was before, is asked for a change.
func (g *ghost) ask(c *cell, arg uint32) {
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

// verdict takes in the confirmation of a judgement.
func (g *ghost) verdict(a Answer, epoch uint64) string {
	for _, r := range g.retries {
		if r.token != a.Token || a.Seq < r.at {
			continue
		}
		if r.judgement == onAnotherBase {
			g.refused = append(slices.Clip(g.refused), r.change)
			continue
		}
		at := slices.Index(g.committed, changeBody(r.change))
		if at < 0 || uint64(at) >= a.Seq {
			return fmt.Sprintf("w%d is acknowledged again and isn't committed", r.change)
		}
		g.acked = append(slices.Clip(g.acked), ack{uint64(at) + 1, epoch})
	}
	return ""
}

// rejections tells when a change that was refused is committed.
func (g *ghost) refusals() string {
	for _, change := range g.refused {
		if slices.Contains(g.committed, changeBody(change)) {
			return fmt.Sprintf("w%d was refused and is committed", change)
		}
	}
	return ""
}
