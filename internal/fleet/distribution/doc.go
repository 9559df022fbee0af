// Package distribution carries state from the control plane to the proxies: the configuration, the backend list, the
// number of proxies, the control servers' addresses, the load report and the ejections. It is built like
// go-control-plane. Each kind of state is a resource type with a Version of its own; a Cache holds the newest
// Resource of each type; Serve answers a Request from the Cache; Watch pulls from a server until its context ends.
//
// A Request names the client's version of each type, and the Response holds the newer state: a snapshot, the changes
// since the client's version, or both. A request of a client that is up to date waits at the server until there is an
// update or its wait is over (a long poll). Control servers serve node agents, and each node agent serves the proxy of
// its machine, so that a relay is a client and a server over one Cache.
//
// Requests also carry data towards the primary: lease renewals, outcomes of attempts at backends, and residency
// reports.
//
// Messages are MessagePack maps whose keys are the msg tags, each in a frame of four bytes of length. A tag must not
// change: older and newer programs run beside each other during an upgrade.
//
// The package neither chooses nor decodes the distributed state; controlplane, nodeagent and proxy do. Cache,
// ResidencyOutbox and OutcomeQueue are safe for use by many goroutines. A Watcher belongs to the goroutine that calls
// Watch, a Backoff to the one that calls Wait.
package distribution
