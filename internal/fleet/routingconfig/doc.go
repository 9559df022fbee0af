// Package routingconfig holds the operator's configuration: it reads and checks complete documents, applies updates of
// named items, shows a document again as it was sent, and builds the route table that the proxy looks requests up in.
//
// A Document is immutable. It retains the operator's own JSON of every item beside the fields parsed from it, so that
// fields that this program doesn't know are shown again unchanged. The JSON is that of PROTOCOL.md, "The operator's
// API".
//
// The package does no I/O and reads no clock. Which document is in force is the matter of controlplane and proxy.
// Documents and indexes are safe for use by many goroutines; the functions may be called from any goroutine.
package routingconfig
