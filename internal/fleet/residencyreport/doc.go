// Package residencyreport records in which regions tenants' data was, and from when to when, beyond the lifetime of the
// processes that sent it.
//
// Proxies report the changes of their residency logs in numbered batches. A Relay at the proxy, its node agent and its
// control server keeps each batch and forwards it until it is acknowledged; a Sender and a Receiver are the two ends of
// one connection between relays. The primary merges batches into an Update, which is committed as a change to the
// replicated record; Totals is the state of the record. The design is described in docs/design/regions.md.
//
// The package does no I/O, reads no clock and starts no goroutine; package distribution transmits the messages and
// package controlplane commits to the record. Totals are immutable and may be read from any goroutine; a Relay, Sender
// or Receiver is not safe for concurrent use. Where data may be is decided by package residency, not here.
package residencyreport
