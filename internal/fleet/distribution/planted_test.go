package distribution

import (
	"testing"

	"molepaddle/internal/plantedfault"
)

// TestPlantedFaults lays errors into what sources keep and how it is sent.
func TestPlantedFaults(t *testing.T) {
	plantedfault.Find(t, []plantedfault.Fault{
		{Name: "a new whole leaves no changes before it", Tests: "^TestBehindOverThinLink$", Texts: []string{
			"\te.base, e.whole, e.since, e.after = e.at, whole, len(e.changes), 0\n", "\te.base, e.whole, e.since, e.after = e.at, whole, 0, 0\n\te.first, e.changes, e.bytes = e.at, nil, 0\n"}},
		{Name: "an answer has one deadline for all of it", Tests: "^TestBehindOverThinLink$", Texts: []string{
			"if err = w.conn.SetWriteDeadline(time.Now().Add(w.silence)); err != nil {", "if err = w.conn.SetWriteDeadline(time.Now().Add(w.silence)); written > 0 && err != nil {",
			"w.conn.Write(p[written:min(written+steadyPiece, len(p))])", "w.conn.Write(p[written:])"}},
		{Name: "changes before the whole come along with it", Tests: "^TestChangesAreBounded$", Texts: []string{
			"Changes: e.changes[e.since:]}", "Changes: e.changes}"}},
		{Name: "changes are kept without a bound", Tests: "^TestChangesAreBounded$", Texts: []string{
			"for drop < e.since && (", "for drop < e.since && false && ("}},
		{Name: "a relay takes changes that don't follow", Tests: "^TestPullsBringWhatIsLacking$|^TestRelayAsksForWhole$", Texts: []string{
			"if e == nil || e.at != p.Since {", "if e == nil {"}},
		{Name: "a relay keeps changes without a bound", Tests: "^TestRelayAsksForWhole$", Texts: []string{
			"if next.after > maxAfterWhole {", "if next.after > 1000*maxAfterWhole {"}},
	})
}
