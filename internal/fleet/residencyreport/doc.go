// Package residencyreport holds where tenants' data was, from when to when, past the end of the processes that saw
// it.
//
// Proxies report what changed in their ledgers in numbered batches. A Relay at the proxy, its node agent and its
// control server passes each batch on until it is acknowledged; a Sender and a Receiver are the two ends of one
// connection between relays. The primary merges batches into one Update, which the replicated record takes as a
// change, and the Totals are what the record holds. docs/design/regions.md has the whole picture.
//
// The package does no I/O, reads no clock and starts no goroutine; package distribution carries the messages and
// package controlplane drives the record. Totals never change and may be read from any goroutine; a Relay, Sender or
// Receiver is not safe for concurrent use. Which data may be where is decided by package residency, not here.
package residencyreport
