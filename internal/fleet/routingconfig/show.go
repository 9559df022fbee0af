package routingconfig

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Show is the whole configuration as JSON, for cfg/show and snapshots: each item, caps and tenants as the operator sent
// them, then the top-level fields this program doesn't know. The nil Document shows version 0 with empty lists.
func (d *Document) Show() []byte {
	if d == nil {
		d = &Document{}
	}
	size := 64 + len(d.caps)
	for _, r := range d.routes {
		size += len(r.raw) + 1
	}
	for _, s := range d.services {
		size += len(s.raw) + 1
	}
	for _, t := range d.tenants {
		size += len(t.raw) + 16
	}
	for _, m := range d.extra {
		size += len(m.key) + len(m.value) + 8
	}
	b := append(make([]byte, 0, size), `{"ver":`...)
	b = strconv.AppendInt(b, d.version, 10)
	b = append(b, `,"routing":[`...)
	for i, r := range d.routes {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, r.raw...)
	}
	b = append(b, `],"svcs":[`...)
	for i, s := range d.services {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, s.raw...)
	}
	b = append(b, ']')
	if d.caps != nil {
		b = append(append(b, `,"caps":`...), d.caps...)
	}
	if d.tenants != nil {
		b = append(b, `,"tenants":[`...)
		for i, t := range d.tenants {
			if i > 0 {
				b = append(b, ',')
			}
			b = append(b, t.raw...)
		}
		b = append(b, ']')
	}
	for _, m := range d.extra {
		key, _ := json.Marshal(m.key) // strings always marshal
		b = append(append(append(append(b, ','), key...), ':'), m.value...)
	}
	return append(b, '}')
}

// Equal tells whether both show the same bytes.
func (d *Document) Equal(other *Document) bool {
	if d == nil {
		d = &Document{}
	}
	if other == nil {
		other = &Document{}
	}
	if d == other {
		return true
	}
	return d.version == other.version &&
		slices.EqualFunc(d.routes, other.routes, func(a, b *routeItem) bool { return a == b || bytes.Equal(a.raw, b.raw) }) &&
		slices.EqualFunc(d.services, other.services,
			func(a, b *serviceItem) bool { return a == b || bytes.Equal(a.raw, b.raw) }) &&
		slices.EqualFunc(d.tenants, other.tenants, func(a, b *tenantItem) bool { return a == b || bytes.Equal(a.raw, b.raw) }) &&
		(d.tenants == nil) == (other.tenants == nil) &&
		(d.caps == nil) == (other.caps == nil) && bytes.Equal(d.caps, other.caps) &&
		slices.EqualFunc(d.extra, other.extra,
			func(a, b member) bool { return a.key == b.key && bytes.Equal(a.value, b.value) })
}

// Digest recognises the same call coming again: a hash over the operation ("replace", "update"), the base version and the
// body's bytes. It is not proof against a sender that looks for collisions.
func Digest(op string, base int64, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(op)
	_, _ = h.WriteString("\x00" + strconv.FormatInt(base, 10) + "\x00")
	_, _ = h.Write(body)
	return h.Sum64()
}
