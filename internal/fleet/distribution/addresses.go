package distribution

import (
	"net"
	"strconv"
)

// Offsets, from the first port of the settings' range, of the ports that the fleet's own programs use.
const (
	portCore      = 0 // between core machines
	portPull      = 1 // node agents to a control server
	portNodeAgent = 2 // the proxy to its node agent, on loopback
	portQuota     = 3 // proxies to the control server that allocates tenants' quotas
)

func hostPort(host string, ports [2]int, offset int) string {
	return net.JoinHostPort(host, strconv.Itoa(ports[0]+offset))
}

// CoreAddr returns the address at which a core machine listens for the other core machines; ports are the first and
// the last of the settings' range.
func CoreAddr(host string, ports [2]int) string { return hostPort(host, ports, portCore) }

// PullAddr returns the address at which a control server answers pulls; ports are as for CoreAddr.
func PullAddr(host string, ports [2]int) string { return hostPort(host, ports, portPull) }

// QuotaAddr returns the address at which a control server allocates tenants' quotas; ports are as for CoreAddr.
func QuotaAddr(host string, ports [2]int) string { return hostPort(host, ports, portQuota) }

// NodeAgentAddr returns the address at which the node agent of this machine serves its proxy; ports are as for
// CoreAddr.
func NodeAgentAddr(ports [2]int) string { return hostPort("127.0.0.1", ports, portNodeAgent) }
