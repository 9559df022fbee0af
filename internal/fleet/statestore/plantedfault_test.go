package statestore

import (
	"testing"

	"molepaddle/internal/plantedfault"
)

// TestPlantedFaults plants faults in what is accepted as this machine's state; the named tests must detect them.
func TestPlantedFaults(t *testing.T) {
	plantedfault.Find(t, []plantedfault.Fault{
		{
			Name:  "another address's state is this one's",
			Tests: "^TestOtherAddress$",
			Texts: []string{
				`st.Identity.ID == "" || st.Identity.Addr == addr`,
				`st.Identity.ID == "" || addr != ""`,
			},
		},
		{
			Name:  "another address's state is destroyed",
			Tests: "^TestOtherAddress$",
			Texts: []string{
				"if err := store.Close(); err != nil {",
				"if err := errors.Join(store.Save(&replication.Write{Reset: true}), store.Close()); err != nil {",
			},
		},
		{
			Name:  "the end of the log isn't checked",
			Tests: "^TestBrokenRow$",
			Texts: []string{
				"if l.last.Seq != l.head.Seq || l.last.Digest != l.head.Digest {",
				"if l.last.Seq < l.head.Seq && l.last.Seq == 0 {",
			},
		},
	})
}
