package controlplane

import "molepaddle/internal/fleet/routingconfig"

// Names of the operations in a command's digest. Digests are stored, so these names must not change.
const (
	operationUpdate  = "update"
	operationReplace = "replace"
)

// digest returns a hash of a command's operation, base version and body, by which a resubmitted command is recognised.
func (c *Command) digest() uint64 {
	operation := operationUpdate
	if c.Replace {
		operation = operationReplace
	}
	return routingconfig.Digest(operation, c.Base, c.Body)
}

// applyTo returns the document that results from a command, or the findings that make it invalid. doc is not modified.
func (c *Command) applyTo(
	doc *routingconfig.Document, checks ...routingconfig.Check,
) (*routingconfig.Document, routingconfig.Findings) {
	if c.Replace {
		return routingconfig.Replace(doc, c.Body, checks...)
	}
	return routingconfig.Update(doc, c.Body, checks...)
}
