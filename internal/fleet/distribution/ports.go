package distribution

import (
	"net"
	"strconv"
)

// Own programs use the ports of the settings' range from the first on.
const (
	portCore      = 0 // core machines among themselves
	portPull      = 1 // node agents at a control server
	portNodeAgent = 2 // the proxy at its node agent, on loopback
)

func hostPort(host string, ports [2]int, offset int) string {
	return net.JoinHostPort(host, strconv.Itoa(ports[0]+offset))
}

// CoreAddr is where a core machine hears the others of the core.
func CoreAddr(host string, ports [2]int) string { return hostPort(host, ports, portCore) }

// PullAddr is where a control server answers pulls.
func PullAddr(host string, ports [2]int) string { return hostPort(host, ports, portPull) }

// NodeAgentAddr is where the node agent of a machine feeds its proxy.
func NodeAgentAddr(ports [2]int) string { return hostPort("127.0.0.1", ports, portNodeAgent) }
