package replication

import "slices"

// Replicas returns the required number of holders of the record: one more than may be lost at once.
func (s FailureTolerance) Replicas() int { return max(s.Nodes, s.Zones, s.Regions, 0) + 1 }

// toleratedBy reports whether a majority of the members remains after any loss within the tolerance.
func (s FailureTolerance) toleratedBy(members []Member) bool {
	zones, regions := map[[2]string]int{}, map[string]int{}
	for _, m := range members {
		zones[m.zone()]++
		regions[m.Region]++
	}
	lost := max(s.Nodes, largestDomains(zones, s.Zones), largestDomains(regions, s.Regions))
	return len(members)-lost >= quorumSize(len(members))
}

// largestDomains returns the total number of members in the n largest failure domains.
func largestDomains[K comparable](domains map[K]int, n int) int {
	var sizes []int
	for _, size := range domains {
		sizes = append(sizes, size)
	}
	slices.Sort(sizes)
	sum := 0
	for _, size := range sizes[max(0, len(sizes)-max(n, 0)):] {
		sum += size
	}
	return sum
}

// quorumSize returns the size of a majority of the given number of members.
func quorumSize(members int) int { return members/2 + 1 }

// zone returns a member's zone qualified by its region, as zones of different regions may have the same name.
func (m *Member) zone() [2]string { return [2]string{m.Region, m.Zone} }
