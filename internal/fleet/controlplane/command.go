package controlplane

import "molepaddle/internal/fleet/routingconfig"

// Operations as they enter a digest, which is stored: they don't change.
const (
	operationUpdate  = "update"
	operationReplace = "replace"
)

// digest names a command by its operation, its base and the bytes of its body.
func (c *Command) digest() uint64 {
	operation := operationUpdate
	if c.Replace {
		operation = operationReplace
	}
	return routingconfig.Digest(operation, c.Base, c.Body)
}

// applyTo returns what a command makes of a document, which stays as it is, or what is wrong with it.
func (c *Command) applyTo(
	doc *routingconfig.Document, checks ...routingconfig.Check,
) (*routingconfig.Document, routingconfig.Findings) {
	if c.Replace {
		return routingconfig.Replace(doc, c.Body, checks...)
	}
	return routingconfig.Update(doc, c.Body, checks...)
}
