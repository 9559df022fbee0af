package replication

import (
	"slices"
	"strings"
)

// candidate is a machine that may become a backup.
type candidate struct {
	Member
	holdsRecord    bool // holds the record already
	lagged         bool // was replaced lately as it lagged
	nearlyCaughtUp bool // lacks a few changes only
	leaving        bool // is departing: taken only where nobody else is there
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
	full           bool // and spread as well as the members allow, none of them lagging
	zones, regions int  // of the holders, up to what is wanted
}

// staying are the members but for the candidates that are departing.
func staying(members []Member, from []candidate) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(o Member) bool {
		return slices.ContainsFunc(from, func(c candidate) bool { return c.leaving && c.ID == o.ID })
	})
}

// What a candidate has that another lacks, the weightiest first.
const (
	weightNearlyCaughtUp = 1 << iota
	weightHoldsRecord
	weightNotLagged
	weightNewZone
	weightNewRegion
	weightStays
)

// spreadWanted is over how many zones and regions the holders of the record should stand.
type spreadWanted struct{ zones, regions int }

func (s FailureTolerance) spreadWanted() spreadWanted {
	return spreadWanted{zones: max(s.Zones, 0) + 1, regions: max(s.Regions, 0) + 1}
}

// weight says how much a candidate is wanted beside these holders.
func (c *candidate) weight(holders []Member, wanted spreadWanted) int {
	zones, regions := spread(holders)
	zonesWith, regionsWith := spread(append(slices.Clip(holders), c.Member))
	weight := 0
	for _, has := range []struct {
		it     bool
		weight int
	}{
		{!c.leaving, weightStays},
		{regionsWith > regions && regions < wanted.regions, weightNewRegion},
		{zonesWith > zones && zones < wanted.zones, weightNewZone},
		{!c.lagged, weightNotLagged},
		{c.holdsRecord, weightHoldsRecord},
		{c.nearlyCaughtUp, weightNearlyCaughtUp},
	} {
		if has.it {
			weight += has.weight
		}
	}
	return weight
}

// choose picks the backups beside self among the candidates, for a view with these members. Each step takes who stays,
// then who brings a new region or zone where one is still wanted, then who doesn't lag, then who holds the record, then
// who lacks a few changes only, then the lowest address.
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
