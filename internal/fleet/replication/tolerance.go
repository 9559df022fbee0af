package replication

import "slices"

// Replicas is how many machines must hold the record so that one remains: one more than may be lost at once.
func (s FailureTolerance) Replicas() int { return max(s.Nodes, s.Zones, s.Regions, 0) + 1 }

// toleratedBy reports whether a majority of the members is left after any loss that is to be survived.
func (s FailureTolerance) toleratedBy(members []Member) bool {
	zones, regions := map[[2]string]int{}, map[string]int{}
	for _, m := range members {
		zones[m.zone()]++
		regions[m.Region]++
	}
	lost := max(s.Nodes, largestDomains(zones, s.Zones), largestDomains(regions, s.Regions))
	return len(members)-lost >= quorumSize(len(members))
}

// largestDomains is how many members the n largest places have together.
func largestDomains[K comparable](places map[K]int, n int) int {
	var sizes []int
	for _, size := range places {
		sizes = append(sizes, size)
	}
	slices.Sort(sizes)
	sum := 0
	for _, size := range sizes[max(0, len(sizes)-max(n, 0)):] {
		sum += size
	}
	return sum
}

// quorumSize is how many of so many members are a majority.
func quorumSize(members int) int { return members/2 + 1 }

// zone is where a member stands: zones of different regions may bear one name.
func (m *Member) zone() [2]string { return [2]string{m.Region, m.Zone} }
