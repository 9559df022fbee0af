package replication

import (
	"slices"
	"strings"
)

// candidate is a machine that may become a backup.
type candidate struct {
	Member
	holdsRecord    bool // already holds the record
	lagged         bool // was recently replaced because it lagged
	nearlyCaughtUp bool // lacks only a few changes
	leaving        bool // is shutting down; chosen only if there is no other candidate
}

// spread counts the zones and regions of some machines.
func spread(ms []Member) (zones, regions int) {
	z, r := map[[2]string]bool{}, map[string]bool{}
	for _, m := range ms {
		z[m.zone()], r[m.Region] = true, true
	}
	return len(z), len(r)
}

// choice is the result of choose.
type choice struct {
	backups        []ID
	enough         bool // there are as many backups as required
	full           bool // enough, spread as well as the members allow, and none lagging or shutting down
	zones, regions int  // number of the holders' zones and regions, at most the wanted ones
}

// staying returns the members except the candidates that are departing.
func staying(members []Member, from []candidate) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(o Member) bool {
		return slices.ContainsFunc(from, func(c candidate) bool { return c.leaving && c.ID == o.ID })
	})
}

// Weights of a candidate's properties, in rising order: each one outweighs all those before it together.
const (
	weightNearlyCaughtUp = 1 << iota
	weightHoldsRecord
	weightNotLagged
	weightNewZone
	weightNewRegion
	weightStays
)

// spreadWanted is the number of zones and regions over which the holders of the record should be spread.
type spreadWanted struct{ zones, regions int }

func (s FailureTolerance) spreadWanted() spreadWanted {
	return spreadWanted{zones: max(s.Zones, 0) + 1, regions: max(s.Regions, 0) + 1}
}

// weight returns the preference for a candidate, given the holders chosen so far.
func (c *candidate) weight(holders []Member, wanted spreadWanted) int {
	zones, regions := spread(holders)
	zonesWith, regionsWith := spread(append(slices.Clip(holders), c.Member))
	weight := 0
	for _, has := range []struct {
		ok     bool
		weight int
	}{
		{!c.leaving, weightStays},
		{regionsWith > regions && regions < wanted.regions, weightNewRegion},
		{zonesWith > zones && zones < wanted.zones, weightNewZone},
		{!c.lagged, weightNotLagged},
		{c.holdsRecord, weightHoldsRecord},
		{c.nearlyCaughtUp, weightNearlyCaughtUp},
	} {
		if has.ok {
			weight += has.weight
		}
	}
	return weight
}

// choose chooses the backups among the candidates for a view with these members and self as primary. Each step prefers
// candidates that aren't departing, then those in a new region or zone while one is still wanted, then those that
// didn't lag, then holders of the record, then those that lack only a few changes, then the lowest address.
func choose(s FailureTolerance, self Member, members []Member, from []candidate) choice {
	need := min(s.Replicas(), len(members)) - 1
	wanted := s.spreadWanted()
	holders := []Member{self}
	rest := slices.Clone(from)
	slices.SortFunc(rest, func(a, b candidate) int { return strings.Compare(a.Addr, b.Addr) })
	c := choice{full: true}
	for len(c.backups) < need && len(rest) > 0 {
		best, bestWeight := -1, -1
		for i := range rest {
			if w := rest[i].weight(holders, wanted); w > bestWeight {
				best, bestWeight = i, w
			}
		}
		if rest[best].lagged || rest[best].leaving {
			c.full = false
		}
		holders = append(holders, rest[best].Member)
		c.backups = append(c.backups, rest[best].ID)
		rest = slices.Delete(rest, best, best+1)
	}
	c.enough = len(c.backups) == need
	zones, regions := spread(holders)
	c.zones, c.regions = min(zones, wanted.zones), min(regions, wanted.regions)
	allZones, allRegions := spread(staying(members, from))
	spreadWell := c.zones >= min(wanted.zones, allZones, need+1) && c.regions >= min(wanted.regions, allRegions, need+1)
	c.full = c.full && c.enough && spreadWell
	return c
}
