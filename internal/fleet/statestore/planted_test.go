package statestore

import (
	"testing"

	"molepaddle/internal/plantedfault"
)

// TestPlantedFaults lays errors into what counts as this machine's state.
func TestPlantedFaults(t *testing.T) {
	plantedfault.Find(t, []plantedfault.Fault{
		{Name: "another address's state is this one's", Tests: "^TestOtherAddress$", Texts: []string{
			`st.Identity.ID == "" || st.Identity.Addr == addr`, `st.Identity.ID == "" || addr != ""`}},
		{Name: "another address's state is destroyed", Tests: "^TestOtherAddress$", Texts: []string{
			"\tif err := store.Close(); err != nil {\n\t\treturn nil, replication.PersistentState{}, err\n\t}\n", "\tif err := errors.Join(store.Save(&replication.Write{Reset: true}), store.Close()); err != nil {\n\t\treturn nil, replication.PersistentState{}, err\n\t}\n"}},
		{Name: "the end of the record isn't checked", Tests: "^TestBrokenRow$", Texts: []string{
			"if at.Seq != head.Seq || at.Digest != head.Digest {", "if at.Seq < head.Seq && at.Seq == 0 {"}},
	})
}
