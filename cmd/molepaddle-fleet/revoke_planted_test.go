package main

import (
	"flag"
	"testing"

	"molepaddle/internal/plantedfault"
)

var revokePlanted = flag.Bool("revoke.planted", false,
	"plant each fault of TestPlantedRevokeFaults in turn and play TestRevokedKeyIsRejectedEverywhere, which takes minutes")

// revokeFaults are bugs with which a revoked key continues to work at some machine.
var revokeFaults = []plantedfault.Fault{
	{
		Name:      "keys count whenever they were confirmed",
		Tests:     "^TestRevokedKeyIsRejectedEverywhere$",
		Dir:       ".",
		SourceDir: "../../internal/fleet/proxy",
		Texts: []string{
			"p.settings.Bounds.StrictRevoke && age >",
			"p.settings.Bounds.StrictRevoke && false && age >",
		},
	},
	{
		Name:      "a primary that was cut off claims to be in contact",
		Tests:     "^TestRevokedKeyIsRejectedEverywhere$",
		Dir:       ".",
		SourceDir: "../../internal/fleet/controlplane",
		Texts: []string{
			"s.cache.RecordContact(st.PrimaryAddr, contact.at)",
			"s.cache.RecordContact(st.PrimaryAddr, time.Now())",
		},
	},
	{
		Name:      "an answer confirms the configuration as of when it was received",
		Tests:     "^TestRevokedKeyIsRejectedEverywhere$",
		Dir:       ".",
		SourceDir: "../../internal/fleet/proxy",
		Texts: []string{
			"p.confirmConfig(receivedAt.Add(-time.Duration(response.LastContactMs) * time.Millisecond))",
			"p.confirmConfig(receivedAt)",
		},
	},
}

// TestPlantedRevokeFaults asserts that the faults still match the sources. With -revoke.planted it builds the programs
// with each fault, and the tests must detect it.
func TestPlantedRevokeFaults(t *testing.T) {
	if !*revokePlanted {
		plantedfault.Fit(t, revokeFaults)
		return
	}
	plantedfault.Find(t, revokeFaults)
}
