package routingconfig

import (
	"math"
	"strings"
)

// Index is the route table of one Document. It is immutable and safe for use by many goroutines.
type Index struct {
	hosts    map[string]*node // by host in lower case; a host's node represents the prefix "/"
	services map[string]*Service

	// Nil if requests need no keys.
	accountsByKey  map[KeyHash]*Account
	accountsByName map[string]*Account
}

// node represents one path prefix of a host; its children are indexed by the next path segment.
type node struct {
	route    *Route
	children map[string]*node
}

// Route is a route of the Index: the operator's fields and its services resolved.
type Route struct {
	*RouteSpec
	// WeightedServices are the services with a weight above 0; one or more.
	WeightedServices []WeightedService

	// bounds has, for each of WeightedServices but the last, the exclusive upper bound of the numbers for which Pick
	// returns it.
	bounds []uint64
}

// WeightedService is one service of a route.
type WeightedService struct {
	// Service must not be changed.
	Service *Service
	// Weight is above 0.
	Weight float64
}

// NewIndex returns the route table of a document (nil: an empty one), in time linear in its size.
func NewIndex(d *Document) *Index {
	if d == nil {
		d = &Document{}
	}
	x := &Index{
		hosts:    make(map[string]*node),
		services: make(map[string]*Service, len(d.services)),
	}
	for _, s := range d.services {
		x.services[s.Name] = &s.Service
	}
	x.indexAccounts(d)
	routes := make([]Route, len(d.routes))
	for i, r := range d.routes {
		routes[i] = Route{RouteSpec: &r.RouteSpec}
		x.resolve(&routes[i])
		x.insert(&routes[i])
	}
	return x
}

// insert adds a route to the tree of its host.
func (x *Index) insert(r *Route) {
	host := lowerHost(r.Hostname)
	n := x.hosts[host]
	if n == nil {
		n = &node{}
		x.hosts[host] = n
	}
	for rest := r.Prefix[1:]; rest != ""; {
		segment, after, _ := strings.Cut(rest, "/")
		n = n.child(segment)
		rest = after
	}
	n.route = r
}

// child returns the child node of a path segment, which it creates if there is none.
func (n *node) child(segment string) *node {
	if n.children == nil {
		n.children = make(map[string]*node)
	}
	next := n.children[segment]
	if next == nil {
		next = &node{}
		n.children[segment] = next
	}
	return next
}

// resolve fills in the services of a route and the bounds for Pick.
func (x *Index) resolve(r *Route) {
	if len(r.Split) == 0 {
		r.WeightedServices = []WeightedService{{Service: x.services[r.ServiceName], Weight: 1}}
		return
	}
	total := 0.0
	for _, s := range r.Split {
		if s.Weight > 0 {
			service := x.services[s.ServiceName]
			r.WeightedServices = append(r.WeightedServices, WeightedService{Service: service, Weight: s.Weight})
			total += s.Weight
		}
	}
	sum := 0.0
	for _, s := range r.WeightedServices[:len(r.WeightedServices)-1] {
		sum += s.Weight
		// The product is below 2^64 unless the fraction is rounded to 1.
		if at := sum / total * (1 << 64); at < 1<<64 {
			r.bounds = append(r.bounds, uint64(at))
		} else {
			r.bounds = append(r.bounds, math.MaxUint64)
		}
	}
}

// Lookup returns the host's route with the longest prefix of the path. A port at the end of host is ignored, and so is
// the case of host. The path is that of the request line, without the query and not decoded. Lookup doesn't allocate,
// and takes time linear in the lengths of host and path. A host longer than 255 bytes has no route.
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

// host returns the node of a host without regard to case; nil if there is none.
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

// withoutPort returns a Host header's value without its port; an IPv6 address keeps its brackets.
func withoutPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.IndexByte(host[colon:], ']') >= 0 {
		return host
	}
	return host[:colon]
}

// Service returns a service by its name; it must not be changed.
func (x *Index) Service(name string) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// Pick returns one of the route's services by weight. u must be uniformly distributed over all 64 bits; the same
// u gives the same service.
func (r *Route) Pick(u uint64) *Service {
	for i, bound := range r.bounds {
		if u < bound {
			return r.WeightedServices[i].Service
		}
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}

// lowerHost returns a host name in lower case; only ASCII letters are changed, as in host names on the wire.
func lowerHost(host string) string {
	return strings.Map(func(r rune) rune {
		if 'A' <= r && r <= 'Z' {
			return r + 'a' - 'A'
		}
		return r
	}, host)
}
