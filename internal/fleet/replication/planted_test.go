package replication

import (
	"encoding/json"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var planted = flag.String("replication.planted", "", "plant each fault in turn and look which of these find it, which takes minutes: search,hand,storms,histories")

// fault is planted in a copy of the sources: each old text, which is there once, replaced.
type fault struct {
	name, file string
	texts      []string // old, new, old, new ...
	missed     string   // why the search doesn't find it; "" when it does
}

var faults = []fault{
	{"a backup acknowledges what isn't on its disk", "primary.go", []string{"\t\t\tm.keep(rest[:taken]...)\n", ""}, ""},
	{"the primary's own disk isn't waited for", "primary.go", []string{"\tm.keep(c)\n", ""}, ""},
	{"a promise is kept in memory only", "ballot.go", []string{
		"\t\tm.vote.Promised = msg.Ballot\n\t\tm.putVote()\n", "\t\tm.vote.Promised = msg.Ballot\n"}, ""},
	{"an acceptance is kept in memory only", "ballot.go", []string{
		"Accepted: msg.Ballot, Value: msg.Value}\n\t\tm.putVote()\n", "Accepted: msg.Ballot, Value: msg.Value}\n"}, ""},
	{"a machine without its disk votes as who it was", "identity.go", []string{
		`ID(fmt.Sprintf("%016x%016x", m.opt.Rand(), m.opt.Rand()))`, `ID(fmt.Sprint("of ", m.opt.Self.Addr))`}, ""},
	{"a snapshot on the disk is one change short", "record.go", []string{
		"Digest: m.digest, Body: body}", "Digest: m.digest, Body: body[:max(0, strings.LastIndexByte(string(body), 10))]}",
		"\t\"encoding/binary\"\n", "\t\"encoding/binary\"\n\t\"strings\"\n"}, ""},
	{"half of the members decide", "view.go", []string{"return len(v.Members)/2 + 1", "return (len(v.Members) + 1) / 2"}, ""},
	{"a view is decided by fewer than promised", "ballot.go", []string{
		"len(c.accepted) >= m.view.majority()", "len(c.accepted) >= m.view.majority()-1"}, ""},
	{"who proposes goes on answering", "ballot.go", []string{
		"\t\tm.stand.StoppedEpoch = m.view.Epoch + 1\n", ""}, ""},
	{"who proposed answers again after a restart", "ballot.go", []string{
		"\t\tm.stand.StoppedEpoch = m.view.Epoch + 1\n\t\tm.putStanding()\n", "\t\tm.stand.StoppedEpoch = m.view.Epoch + 1\n"},
		"needs two proposals and a restart, which the deep search has"},
	{"a stopped backup still acknowledges", "primary.go", []string{"m.holder() && !m.stopped() && m.stand.StepEpoch", "m.holder() && m.stand.StepEpoch",
		"\tif !m.stopped() {\n\t\trest", "\t{\n\t\trest", "\tif msg.Stopped {\n\t\tm.stoppedPeer(p)\n\t\treturn\n\t}\n", ""}, ""},
	{"a write is acknowledged before the backups have it", "primary.go", []string{
		"seq, round = min(seq, p.seq), min(round, p.round)", "round = min(round, p.round)"}, ""},
	{"a read is not confirmed", "primary.go", []string{"len(m.peers) == 0 || w.at != 0 && w.at <= round", "true"}, ""},
	{"a read is confirmed by an earlier answer", "primary.go", []string{
		"waiting{token: token})\n\t\tm.advance()", "waiting{token: token, at: m.round})\n\t\tm.advance()"}, ""},
	{"what others accepted is not proposed", "ballot.go", []string{"if newest != nil {", "if newest != nil && m.now < 0 {"}, ""},
	{"the oldest acceptance wins", "ballot.go", []string{"newest.accepted.less(p.accepted)", "p.accepted.less(newest.accepted)"},
		"needs three proposals"},
	{"a lower ballot is promised too", "ballot.go", []string{
		"msg.Ballot.ID != msg.From.ID {\n\t\treturn\n\t}\n\tif msg.Ballot.less(m.vote.Promised) {", "msg.Ballot.ID != msg.From.ID {\n\t\treturn\n\t}\n\tif msg.Ballot.less(Ballot{}) {"}, ""},
	{"a lower ballot is accepted too", "ballot.go", []string{
		"!msg.Value.valid() {\n\t\treturn\n\t}\n\tif msg.Ballot.less(m.vote.Promised) {", "!msg.Value.valid() {\n\t\treturn\n\t}\n\tif msg.Ballot.less(Ballot{}) {"}, ""},
	{"a coming backup isn't brought the record first", "ballot.go", []string{
		"if c.staged[b] || p != nil && p.holder {", "if c.staged[b] || p != nil {"}, ""},
	{"any backup counts as a holder", "identity.go", []string{"m.view.rank(m.id.ID) >= 0 && m.stand.RecordEpoch == m.view.Epoch", "m.view.rank(m.id.ID) >= 0"},
		"by itself it changes nothing: who is named a backup was brought the record"},
	{"an older snapshot is taken late", "primary.go", []string{"(m.stand.StepEpoch != m.view.Epoch || msg.Seq > m.seq)", "(m.now >= 0)"}, ""},
	{"a longer record counts as a prefix", "primary.go", []string{"!m.stopped() && msg.Seq == m.seq && msg.Digest == m.digest", "!m.stopped()"}, ""},
	{"a change follows any record", "primary.go", []string{
		"ok := msg.Changes, msg.Seq == m.seq && msg.Digest == m.digest", "ok := msg.Changes, msg.Seq <= m.seq"},
		"each change's own digest is looked at as well"},
	{"words of an older view count", "machine.go", []string{"if msg.Epoch < m.view.Epoch {", "if msg.Epoch+1 < m.view.Epoch {"}, ""},
	{"who was left out keeps its identity", "adopt.go", []string{"if m.id.Joined && !v.has(m.id.ID) {", "if m.id.Joined && !v.has(m.id.ID) && m.now < 0 {"},
		"it has no vote in a view that doesn't name it"},
	{"a decided view isn't kept on the disk", "adopt.go", []string{"\t\tm.putView()\n\t\tm.putVote()\n\t}\n\theard", "\t\tm.putVote()\n\t}\n\theard"}, ""},
	{"a view of the same epoch replaces the one that is known", "adopt.go", []string{"if v.Epoch <= m.view.Epoch || !v.valid()", "if v.Epoch < m.view.Epoch || !v.valid()"},
		""},
}

// lay plants a fault by the compiler's overlay and builds the tests: nothing in the tree is changed.
func (f *fault) lay(c *qt.C, dir string, build bool) string {
	here, err := os.Getwd()
	c.Assert(err, qt.IsNil)
	b, err := os.ReadFile(f.file)
	c.Assert(err, qt.IsNil)
	src := string(b)
	for pair := range slices.Chunk(f.texts, 2) {
		c.Assert(strings.Count(src, pair[0]), qt.Equals, 1, qt.Commentf("to be planted anew: %s: %q", f.name, pair[0]))
		src = strings.Replace(src, pair[0], pair[1], 1)
	}
	if !build {
		return ""
	}
	laid := filepath.Join(dir, f.file)
	c.Assert(os.WriteFile(laid, []byte(src), 0o600), qt.IsNil)
	list, err := json.Marshal(map[string]map[string]string{"Replace": {filepath.Join(here, f.file): laid}})
	c.Assert(err, qt.IsNil)
	overlay, bin := filepath.Join(dir, "overlay.json"), filepath.Join(dir, "replication.test")
	c.Assert(os.WriteFile(overlay, list, 0o600), qt.IsNil)
	out, err := exec.CommandContext(c.Context(), "go", "test", "-vet=off", "-p=2", "-c", "-overlay", overlay, "-o", bin, ".").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s: %s", f.name, out))
	return bin
}

// TestPlantedFaults: the faults still fit the sources; with -replication.planted each is planted, and the search must find it
// unless it says why not.
func TestPlantedFaults(t *testing.T) {
	for _, f := range faults {
		t.Run(strings.ReplaceAll(f.name, " ", "_"), func(t *testing.T) {
			c := qt.New(t)
			bin := f.lay(c, t.TempDir(), *planted != "")
			if *planted == "" {
				return
			}
			found := map[string]bool{}
			for _, by := range [][2]string{{"search", "TestSearch$"}, {"hand", "^Test(Stopped|Late|Accepted|Staged|Promises|Old|Slow|Takeover|Frozen|Wiped|Replaced|Final|Zones|Start)"},
				{"storms", "TestStorm$"}, {"histories", "TestHistories$"}} {
				if !slices.Contains(strings.Split(*planted, ","), by[0]) {
					continue
				}
				out, err := exec.CommandContext(t.Context(), bin, "-test.run", by[1], "-test.timeout", "5m").CombinedOutput()
				found[by[0]] = err != nil
				if err == nil {
					t.Logf("%s: not found", by[0])
					continue
				}
				for line := range strings.Lines(string(out)) {
					if strings.Contains(line, "_test.go:") && !strings.Contains(line, "states (") || strings.HasPrefix(line, "panic:") {
						t.Logf("%s: %s", by[0], strings.TrimSpace(line))
						break
					}
				}
			}
			if _, tried := found["search"]; !tried {
				return
			}
			c.Check(found["search"], qt.Equals, f.missed == "", qt.Commentf("%s %s", f.name, f.missed))
		})
	}
}
