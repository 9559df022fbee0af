package nodeagent

import (
	"net"
	"slices"

	"molepaddle/internal/fleet/distribution"
)

// maxServers bounds how many control servers are known at once.
const maxServers = 64

// setSeeds takes the seeds of the settings, which may have changed since the start. One that is no host:port is left
// out: settings.Parse has reported it.
func (a *Agent) setSeeds(seeds []string) {
	a.seedAddrs = nil
	for _, seed := range seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			a.seedAddrs = append(a.seedAddrs, distribution.PullAddr(host, a.settings.Ports))
		}
	}
	a.addServers(nil)
}

// addServers adds control servers by their pull addresses. Those known before are kept, up to maxServers, since the
// message that names the new ones may be out of date.
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
