// Package configdiff computes the differences between two configurations: routes, services and accounts by name, and
// their fields. The operator's commands show them before they send a change. The package does no I/O and has no state;
// its functions may be called from any goroutine.
package configdiff

import (
	"encoding/json"

	"molepaddle/internal/fleet/routingconfig"
)

// Kinds of changed items. The commands print them with --json.
const (
	// KindRoute is a route.
	KindRoute = "route"
	// KindService is a service.
	KindService = "service"
	// KindAccount is an account. Its API keys are shown as routingconfig.KeyHash.String.
	KindAccount = "account"
	// KindCaps is the operator's limits on clients.
	KindCaps = "caps"
	// KindConfiguration is a top-level field that has no kind of its own, or the order of a list.
	KindConfiguration = "configuration"
)

// The top-level fields that Diff compares separately.
const (
	keyVersion  = "ver"
	keyRoutes   = "routing"
	keyServices = "svcs"
	keyAccounts = "accounts"
	keyCaps     = "caps"
)

// Change is one difference.
type Change struct {
	// Kind is KindRoute, KindService, KindAccount, KindCaps or KindConfiguration.
	Kind string `json:"of"`
	// Name is the name of the route, service or account; empty for the other kinds.
	Name string `json:"name,omitempty"`
	// Field is the path to the field, such as "shares[1].wt"; empty if the item itself was added or removed.
	Field string `json:"field,omitempty"`
	// Old is the compact JSON before the change; nil if it was added.
	Old json.RawMessage `json:"old,omitempty"`
	// New is the compact JSON after the change; nil if it was removed.
	New json.RawMessage `json:"new,omitempty"`
}

// Added reports whether the item or field was added.
func (c Change) Added() bool { return c.Old == nil }

// Removed reports whether the item or field was removed.
func (c Change) Removed() bool { return c.New == nil }

// Diff returns the changes from one document to another (nil: none yet): routes, then services, then accounts, each in
// the order of the old document with additions last, then the limits and the remaining fields. They contain no API
// keys, and not the version. A field that is null counts as absent, and numbers are compared by value. It takes
// time and memory for every route.
func Diff(from, to *routingconfig.Document) []Change {
	old, now := objectFields(from.ShowRedacted()), objectFields(to.ShowRedacted())
	var changes []Change
	changes = append(changes, diffItems(KindRoute, old[keyRoutes], now[keyRoutes])...)
	changes = append(changes, diffItems(KindService, old[keyServices], now[keyServices])...)
	changes = append(changes, diffItems(KindAccount, old[keyAccounts], now[keyAccounts])...)
	d := differ{kind: KindCaps}
	d.diffValue("", old[keyCaps], now[keyCaps])
	d.kind = KindConfiguration
	for _, list := range []string{keyRoutes, keyServices, keyAccounts} {
		d.diffOrder(list, old[list], now[list])
	}
	d.diffPresence(keyAccounts, old[keyAccounts], now[keyAccounts])
	for _, key := range sortedKeys(old, now) {
		switch key {
		case keyVersion, keyRoutes, keyServices, keyAccounts, keyCaps:
		default:
			d.diffValue(key, old[key], now[key])
		}
	}
	return append(changes, d.changes...)
}
