package simulation

import (
	"net/http"
	"slices"
	"time"
)

// KeyRevocation is an API key that an acknowledged configuration revoked.
type KeyRevocation struct {
	Key     string
	AckedAt time.Time
	// RestoredAt is when the operator sent a later configuration with the key; zero if none was sent.
	RestoredAt time.Time
}

// KeyAddition is an API key that an acknowledged configuration added.
type KeyAddition struct {
	Key     string
	AckedAt time.Time
	// Edges are the edge addresses of the machines in contact since the acknowledgement; others aren't judged.
	Edges []string
	// RevokedAt is when the operator sent a later configuration that revokes the key; zero if none was sent.
	RevokedAt time.Time
}

// SentKey returns the API key that the request carries, in Key or among its further headers, or "" if there is none.
func (r Request) SentKey() string {
	if r.Key != "" {
		return r.Key
	}
	return apiKey(r.Header)
}

// checkRevocations judges CONFIG: a request must not run, at any machine, if it was sent later than the bound after the
// acknowledgement of a configuration that revoked its key.
func (o *observations) checkRevocations(revocations []KeyRevocation) {
	for _, revoked := range revocations {
		for i := range o.entries {
			en := &o.entries[i]
			r := o.resultByAttempt[en.Attempt]
			if !en.Ran || r == nil || r.SentKey() != revoked.Key || r.SentAt.Sub(revoked.AckedAt) <= o.bounds.Revoke {
				continue
			}
			if !revoked.RestoredAt.IsZero() && en.At.After(revoked.RestoredAt) {
				continue
			}
			o.reportAtEngine(CONFIG, en,
				"it was sent to %s %v after a configuration was acknowledged that took its key away",
				r.Edge, r.SentAt.Sub(revoked.AckedAt))
		}
	}
}

// checkAdditions judges CONFIG: a machine in contact must not reject a key that was sent later than the bound after the
// acknowledgement of the configuration that added it.
func (o *observations) checkAdditions(additions []KeyAddition) {
	for _, added := range additions {
		for i := range o.results {
			r := &o.results[i]
			if r.SentKey() != added.Key || !slices.Contains(added.Edges, r.Edge) {
				continue
			}
			if r.SentAt.Sub(added.AckedAt) <= o.bounds.Apply {
				continue
			}
			if !added.RevokedAt.IsZero() && r.EndedAt.After(added.RevokedAt) {
				continue
			}
			switch r.Status {
			case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
				o.reportAtClient(CONFIG, r,
					"status %d, sent %v after a configuration was acknowledged that has its key",
					r.Status, r.SentAt.Sub(added.AckedAt))
			}
		}
	}
}
