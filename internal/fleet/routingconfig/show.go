package routingconfig

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Show returns the complete configuration as JSON, for cfg/show and snapshots: each item, caps, tenants and accounts as
// the operator sent them, then the unknown top-level fields. The nil Document is shown as version 0 with empty lists.
func (d *Document) Show() []byte {
	if d == nil {
		d = &Document{}
	}
	b := append(make([]byte, 0, d.shownBytes()), `{"ver":`...)
	b = strconv.AppendInt(b, d.version, 10)
	b = append(b, `,"routing":`...)
	b = appendItems(b, d.routes)
	b = append(b, `,"svcs":`...)
	b = appendItems(b, d.services)
	if d.caps != nil {
		b = append(b, `,"caps":`...)
		b = append(b, d.caps...)
	}
	if d.tenants != nil {
		b = append(b, `,"tenants":`...)
		b = appendItems(b, d.tenants)
	}
	if d.accounts != nil {
		b = append(b, `,"accounts":`...)
		b = appendItems(b, d.accounts)
	}
	for _, m := range d.extra {
		key, _ := json.Marshal(m.key) // strings always marshal
		b = append(b, ',')
		b = append(b, key...)
		b = append(b, ':')
		b = append(b, m.value...)
	}
	return append(b, '}')
}

// shownBytes returns an estimate of the number of bytes that Show returns, so that Show allocates once.
func (d *Document) shownBytes() int {
	const (
		frameBytes  = 64 // the keys and brackets of the document
		tenantBytes = 16 // beyond the JSON of a tenant or an account; includes the list's key
		memberBytes = 8  // quotes, colon and comma of a member, and some escapes
	)
	size := frameBytes + len(d.caps)
	for _, r := range d.routes {
		size += len(r.raw) + 1
	}
	for _, s := range d.services {
		size += len(s.raw) + 1
	}
	for _, t := range d.tenants {
		size += len(t.raw) + tenantBytes
	}
	for _, a := range d.accounts {
		size += len(a.raw) + tenantBytes
	}
	for _, m := range d.extra {
		size += len(m.key) + len(m.value) + memberBytes
	}
	return size
}

// appendItems appends a list of items as the operator sent them.
func appendItems[T namedItem](b []byte, items []T) []byte {
	b = append(b, '[')
	for i, item := range items {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, item.rawJSON()...)
	}
	return append(b, ']')
}

// Equal reports whether Show returns the same bytes for both documents.
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
		equalItems(d.routes, other.routes) &&
		equalItems(d.services, other.services) &&
		equalItems(d.tenants, other.tenants) &&
		(d.tenants == nil) == (other.tenants == nil) &&
		equalItems(d.accounts, other.accounts) &&
		(d.accounts == nil) == (other.accounts == nil) &&
		(d.caps == nil) == (other.caps == nil) &&
		bytes.Equal(d.caps, other.caps) &&
		slices.EqualFunc(d.extra, other.extra, member.equal)
}

// equalItems compares the operator's JSON of the items; successive documents share most items.
func equalItems[T namedItem](items, others []T) bool {
	return slices.EqualFunc(items, others, func(a, b T) bool {
		return a == b || bytes.Equal(a.rawJSON(), b.rawJSON())
	})
}

func (m member) equal(other member) bool {
	return m.key == other.key && bytes.Equal(m.value, other.value)
}

// Digest returns a hash over the operation ("replace", "update"), the base version and the body's bytes, by which a
// repeated call is recognised. The hash isn't cryptographic: a sender can construct collisions.
func Digest(op string, base int64, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(op) // a hash takes every write
	_, _ = h.WriteString("\x00" + strconv.FormatInt(base, 10) + "\x00")
	_, _ = h.Write(body)
	return h.Sum64()
}
