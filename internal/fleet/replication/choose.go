package replication

import (
	"slices"
	"strings"
)

// candidate is a machine that may become a backup.
type candidate struct {
	Member
	holder  bool // holds the record already
	slow    bool // was left out lately
	leaving bool // is about to end: taken only where nobody else is there
}

// spread counts the zones and regions of some machines.
func spread(ms []Member) (zones, regions int) {
	z, r := map[[2]string]bool{}, map[string]bool{}
	for _, m := range ms {
		z[m.zone()], r[m.Region] = true, true
	}
	return len(z), len(r)
}

// choice is the outcome of choose.
type choice struct {
	backups        []ID
	enough         bool // as many as must be
	full           bool // and spread as well as the members allow, none of them slow
	zones, regions int  // of the holders, up to what is wanted
}

// staying are the members but for the candidates that are about to end.
func staying(members []Member, from []candidate) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(o Member) bool {
		return slices.ContainsFunc(from, func(c candidate) bool { return c.leaving && c.ID == o.ID })
	})
}

// choose picks the backups beside self among the candidates, for a view with these members. Each step takes who
// stays, then who brings a new region or zone where one is still wanted, then who isn't slow, then who holds the record, then
// the lowest address.
func choose(s Survive, self Member, members []Member, from []candidate) choice {
	need := min(s.Copies(), len(members)) - 1
	wantZ, wantR := max(s.Zones, 0)+1, max(s.Regions, 0)+1
	holders := []Member{self}
	rest := slices.Clone(from)
	slices.SortFunc(rest, func(a, b candidate) int { return strings.Compare(a.Addr, b.Addr) })
	var c choice
	c.full = true
	for len(c.backups) < need && len(rest) > 0 {
		z, r := spread(holders)
		best, bestScore := -1, -1
		for i, cand := range rest {
			z2, r2 := spread(append(holders[:len(holders):len(holders)], cand.Member))
			score := 0
			if !cand.leaving {
				score += 16
			}
			if r2 > r && r < wantR {
				score += 8
			}
			if z2 > z && z < wantZ {
				score += 4
			}
			if !cand.slow {
				score += 2
			}
			if cand.holder {
				score++
			}
			if score > bestScore {
				best, bestScore = i, score
			}
		}
		if rest[best].slow || rest[best].leaving {
			c.full = false
		}
		holders = append(holders, rest[best].Member)
		c.backups = append(c.backups, rest[best].ID)
		rest = slices.Delete(rest, best, best+1)
	}
	c.enough = len(c.backups) == need
	z, r := spread(holders)
	c.zones, c.regions = min(z, wantZ), min(r, wantR)
	allZ, allR := spread(staying(members, from))
	c.full = c.full && c.enough && c.zones >= min(wantZ, allZ, need+1) && c.regions >= min(wantR, allR, need+1)
	return c
}
