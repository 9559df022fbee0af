package nodeagent

import (
	"net"
	"slices"

	"molepaddle/internal/fleet/distribution"
)

// maxServers bounds the number of known control servers.
const maxServers = 64

// setSeeds replaces the seeds by those of the settings, which may have changed since the start. It ignores seeds that
// aren't host:port, which settings.Parse reports.
func (a *Agent) setSeeds(seeds []string) {
	a.seedAddrs = nil
	for _, seed := range seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			a.seedAddrs = append(a.seedAddrs, distribution.PullAddr(host, a.settings.Ports))
		}
	}
	a.addServers(nil)
}

// addServers adds control servers by their pull addresses. Known ones are kept, up to maxServers, since the message
// with the new ones may be stale.
func (a *Agent) addServers(addrs []string) {
	all := slices.Concat(a.seedAddrs, addrs, a.serverAddrs)
	known := all[:0:0]
	for _, addr := range all {
		if len(known) < maxServers && !slices.Contains(known, addr) {
			known = append(known, addr)
		}
	}
	a.serverAddrs = known
}
