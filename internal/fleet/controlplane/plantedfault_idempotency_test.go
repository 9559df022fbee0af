package controlplane

import (
	"testing"

	"molepaddle/internal/plantedfault"
)

// idempotencyFaults are faults in how changes are accepted, remembered and acknowledged again.
var idempotencyFaults = []plantedfault.Fault{
	{
		Name: "few changes are remembered",
		Texts: []string{
			"maxRemembered = rememberedBytes / rememberedChangeBytes",
			"maxRemembered = 64",
		},
	},
	{
		Name: "more is remembered than the bound allows",
		Texts: []string{
			"rememberedChangeBytes = 9 + 9",
			"rememberedChangeBytes = 9",
		},
	},
	{
		Name: "what is forgotten is refused",
		Texts: []string{
			"\tif c.Base < base {\n\t\treturn forgotten",
			"\tif c.Base < base {\n\t\treturn otherChange",
		},
	},
	{
		Name: "any change on the same base counts as the same",
		Texts: []string{
			"same := a.digests[following] == c.digest()",
			"same := true",
		},
	},
	{
		Name: "the operation is not part of the digest",
		Texts: []string{
			"operation := operationUpdate\n\tif c.Replace {\n",
			"operation := operationUpdate\n\tif false {\n",
		},
	},
	{
		Name: "the oldest base is one too new",
		Texts: []string{
			"a.oldestBase = a.versions[excess-1]",
			"a.oldestBase = a.versions[excess]",
		},
	},
	{
		Name: "the oldest base stays what it was",
		Texts: []string{
			"\ta.oldestBase = a.versions[excess-1]\n",
			"",
		},
	},
	{
		Name: "the oldest base is not in the snapshot",
		Texts: []string{
			"oldest != unknownBase",
			"oldest == unknownBase",
		},
	},
	{
		Name: "an older build's oldest change counts as the first of all",
		Texts: []string{
			"a = acceptedChanges{oldestBase: unknownBase,",
			"a = acceptedChanges{oldestBase: 0,",
		},
	},
	{
		Name: "an older build that remembered nothing counts as one that accepted nothing",
		Texts: []string{
			"\t\ta.oldestBase = version\n",
			"\t\ta.oldestBase = 0\n",
		},
	},
	{
		Name: "the remembered changes are not in the snapshot",
		Texts: []string{
			"\tcs.accepted.store(&s)\n",
			"",
		},
	},
	{
		Name: "the remembered changes are not read",
		Texts: []string{
			"cs.accepted, err = restoreAccepted(&s, cs.doc.Version())",
			"_, err = restoreAccepted(&s, cs.doc.Version())",
		},
	},
	{
		Name: "a restore leaves the remembered changes as they are",
		Texts: []string{
			"\t*cs = next\n",
			"\tnext.accepted = cs.accepted\n\t*cs = next\n",
		},
	},
	{
		Name: "a restore that fails leaves half of a state",
		Texts: []string{
			"\t\t\treturn errors.Wrap(err, \"record\")\n\t\t}\n\t\tnext.recent",
			"\t\t\t*cs = next\n\t\t\treturn errors.Wrap(err, \"record\")\n\t\t}\n\t\tnext.recent",
		},
	},
	{
		Name: "a base that is not reached is refused",
		Texts: []string{
			"return cs.verdict(http.StatusServiceUnavailable,\n\t\t\t\"version %d is in place; version",
			"return cs.verdict(http.StatusPreconditionFailed,\n\t\t\t\"version %d is in place; version",
		},
	},
	{
		Name: "validity is checked before the accepted changes",
		Texts: []string{
			"\tswitch cs.accepted.lookup(c) {\n",
			"\tif _, found := c.applyTo(cs.doc, checks...); found.Err() != nil {\n" +
				"\t\treturn &verdict{seq: cs.seq, status: http.StatusBadRequest, findings: found}\n\t}\n" +
				"\tswitch cs.accepted.lookup(c) {\n",
		},
	},
	{
		Name: "a verdict is returned before its state is committed",
		Texts: []string{
			" && a.Seq >= v.seq",
			"",
		},
	},
	{
		Name: "a change that was lost in a takeover is acknowledged",
		Texts: []string{
			"case v == nil && a.Result == replication.Committed:",
			"case v == nil && (a.Result == replication.Committed || a.Result == replication.LostPrimacy):",
		},
	},
	{
		Name: "a verdict is returned before it is confirmed",
		Texts: []string{
			"case v != nil && v.confirmedBy(a):",
			"case v != nil:",
		},
	},
	{
		Name: "an accepted change is proposed again",
		Texts: []string{
			"\tcase sameChange:\n\t\treturn &verdict{seq: cs.seq, status: http.StatusOK}\n",
			"\tcase sameChange:\n",
		},
	},
	{
		Name: "only the newest changes are acknowledged again",
		Texts: []string{
			"\tcase sameChange:\n\t\treturn &verdict{seq: cs.seq, status: http.StatusOK}\n",
			"\tcase sameChange:\n\t\tif cs.accepted.versions[len(cs.accepted.versions)-1] > c.Base+2 {\n" +
				"\t\t\treturn &verdict{seq: cs.seq, status: http.StatusPreconditionFailed}\n\t\t}\n" +
				"\t\treturn &verdict{seq: cs.seq, status: http.StatusOK}\n",
		},
	},
	{
		Name: "a verdict is returned by a former primary",
		Texts: []string{
			"a.Result == replication.Confirmed && a.Seq",
			"a.Seq",
		},
	},
}

// TestPlantedIdempotencyFaults plants each fault; the tests matched by the flag -controlplane.finders must detect it.
func TestPlantedIdempotencyFaults(t *testing.T) {
	faults := make([]plantedfault.Fault, 0, len(idempotencyFaults))
	for _, f := range idempotencyFaults {
		f.Tests = *finders
		f.Args = []string{"-failfast", "-rapid.nofailfile", "-rapid.shrinktime=0s"}
		faults = append(faults, f)
	}
	plantedfault.Find(t, faults)
}
