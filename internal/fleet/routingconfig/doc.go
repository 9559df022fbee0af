// Package routingconfig implements the operator's configuration: it parses and validates complete documents, applies
// updates of named items, serializes a document as it was sent, and builds the route table in which the proxy looks up
// requests.
//
// A Document is immutable. It retains the operator's own JSON of every item beside the fields parsed from it, so that
// unknown fields are preserved. The JSON format is specified in PROTOCOL.md, "The operator's API".
//
// The package does no I/O and reads no clock. Packages controlplane and proxy decide which document is in force.
// Documents and indexes are safe for use by many goroutines; the functions may be called from any goroutine.
package routingconfig
