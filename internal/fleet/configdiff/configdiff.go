// Package configdiff computes what changes from one configuration to the next: routes, services and accounts by name,
// and their fields. The operator's commands show it before a change is sent. It does no I/O and has no state; its
// functions may be called from any goroutine.
package configdiff

import (
	"encoding/json"

	"molepaddle/internal/fleet/routingconfig"
)

// Kinds of what a Change is of. They are in the output of the commands with --json.
const (
	// KindRoute is a route.
	KindRoute = "route"
	// KindService is a service.
	KindService = "service"
	// KindAccount is an account, whose API keys are shown as routingconfig.KeyHash shows them.
	KindAccount = "account"
	// KindCaps is the operator's limits on clients.
	KindCaps = "caps"
	// KindConfiguration is a top-level field that has no kind of its own, or the order of a list.
	KindConfiguration = "configuration"
)

// The top-level fields that Diff treats on their own.
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
	// Name is the route's, service's or account's; empty for the other kinds.
	Name string `json:"name,omitempty"`
	// Field is the path to the field, such as "shares[1].wt"; empty where the item as such was added or removed.
	Field string `json:"field,omitempty"`
	// Old is the compact JSON before the change; nil where there was nothing.
	Old json.RawMessage `json:"old,omitempty"`
	// New is the compact JSON after the change; nil where there is nothing.
	New json.RawMessage `json:"new,omitempty"`
}

// Added returns whether there was nothing before.
func (c Change) Added() bool { return c.Old == nil }

// Removed returns whether there is nothing any more.
func (c Change) Removed() bool { return c.New == nil }

// Diff returns the changes from one document to another (nil: none yet): routes, then services, then accounts, each in
// the order of the old document with additions last, then the limits and the remaining fields. No API key is in them.
// The version is not among them. A field that is null counts as absent, and numbers are compared by value. It takes
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
