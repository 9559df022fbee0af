package routingconfig

import (
	"math"
	"strings"
)

// Index is the route table of one Document. It is immutable and safe for use by many goroutines.
type Index struct {
	hosts    map[string]*node // by host in lower case; a host's node stands for the prefix "/"
	services map[string]*Service
}

// node stands for one prefix of a host; the children are by the segment that comes after it.
type node struct {
	route    *Route
	children map[string]*node
}

// Route is a route of the Index: the operator's fields and its services resolved.
type Route struct {
	*RouteSpec
	// Shares are the services that get requests, without those of weight 0; one or more.
	WeightedServices []WeightedService
	bounds           []uint64 // of each share but the last, the first u that is beyond it; nil for one share
}

// WeightedService is one service of a route.
type WeightedService struct {
	Service *Service
	// Weight is above 0.
	Weight float64
}

// NewIndex builds the route table of a document (nil: an empty one), in time linear in its size.
func NewIndex(d *Document) *Index {
	if d == nil {
		d = &Document{}
	}
	x := &Index{hosts: make(map[string]*node), services: make(map[string]*Service, len(d.services))}
	for _, s := range d.services {
		x.services[s.Name] = &s.Service
	}
	all := make([]Route, len(d.routes))
	for i, r := range d.routes {
		all[i] = Route{RouteSpec: &r.RouteSpec}
		x.resolve(&all[i])
		host := lowerHost(r.Hostname)
		n := x.hosts[host]
		if n == nil {
			n = &node{}
			x.hosts[host] = n
		}
		for rest := r.Prefix[1:]; rest != ""; {
			segment, after, _ := strings.Cut(rest, "/")
			next := n.children[segment]
			if next == nil {
				if n.children == nil {
					n.children = make(map[string]*node)
				}
				next = &node{}
				n.children[segment] = next
			}
			n, rest = next, after
		}
		n.route = &all[i]
	}
	return x
}

// resolve fills in the shares of a route.
func (x *Index) resolve(r *Route) {
	if len(r.Split) == 0 {
		r.WeightedServices = []WeightedService{{Service: x.services[r.ServiceName], Weight: 1}}
		return
	}
	total := 0.0
	for _, s := range r.Split {
		if s.Weight > 0 {
			r.WeightedServices = append(r.WeightedServices, WeightedService{Service: x.services[s.ServiceName], Weight: s.Weight})
			total += s.Weight
		}
	}
	sum := 0.0
	for _, s := range r.WeightedServices[:len(r.WeightedServices)-1] {
		sum += s.Weight
		// The product is below 2^64 unless rounding made the fraction 1.
		if at := sum / total * (1 << 64); at < 1<<64 {
			r.bounds = append(r.bounds, uint64(at))
		} else {
			r.bounds = append(r.bounds, math.MaxUint64)
		}
	}
}

// Lookup finds the route of the host with the longest prefix with which the path begins. A port at the end of host is
// left out and its case doesn't count. The path is the one in the request line, without its query and not decoded. It
// allocates nothing and takes time linear in the lengths of host and path. A host longer than 255 bytes has no route.
func (x *Index) Lookup(host, path string) (*Route, bool) {
	n := x.host(withoutPort(host))
	if n == nil || path == "" || path[0] != '/' {
		return nil, false
	}
	found := n.route
	for rest := path[1:]; n.children != nil; {
		end := strings.IndexByte(rest, '/')
		if end < 0 {
			break
		}
		if n = n.children[rest[:end]]; n == nil {
			break
		}
		if n.route != nil {
			found = n.route
		}
		rest = rest[end+1:]
	}
	return found, found != nil
}

// host finds the node of a host in any case.
func (x *Index) host(host string) *node {
	if n := x.hosts[host]; n != nil {
		return n
	}
	var lower [255]byte
	if len(host) > len(lower) {
		return nil
	}
	for i := range len(host) {
		c := host[i]
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		lower[i] = c
	}
	return x.hosts[string(lower[:len(host)])]
}

// withoutPort cuts a port off a Host header's value; an IPv6 address keeps its brackets.
func withoutPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.IndexByte(host[colon:], ']') >= 0 {
		return host
	}
	return host[:colon]
}

// Service finds a service by its name.
func (x *Index) Service(name string) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// Pick chooses a share by weight. u must be spread evenly over all 64 bits; the same u gives the same share.
func (r *Route) Pick(u uint64) *Service {
	for i, bound := range r.bounds {
		if u < bound {
			return r.WeightedServices[i].Service
		}
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}
