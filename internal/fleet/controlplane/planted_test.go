package controlplane

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

var planted = flag.Bool("controlplane.planted", false, "plant each fault in turn and run the tests that have to find it, which takes minutes")

// fault is a deliberate bug, planted in a copy of the sources: each old text, which is there once, replaced.
type fault struct {
	name, file string
	texts      []string // old, new, old, new ...
	in, by     string   // the package and the tests that find it
}

const (
	fileAdmission = "admission.go"
	fileChange    = "change.go"
	fileOperator  = "operator.go"
	filePeers     = "peers.go"
	filePhases    = "phases.go"
	filePoller    = "poller.go"
	filePulls     = "pulls.go"
	fileServer    = "controlplane.go"
	fileBackend   = "../externalapi/backend.go"
	fileWatcher   = "../distribution/watcher.go"
	fileCache     = "../distribution/cache.go"
	fileAgent     = "../nodeagent/nodeagent.go"
	fileSource    = "../nodeagent/source.go"
	fileContact   = "../replication/contact.go"
	filePrimary   = "../replication/primary.go"

	inThis         = "."
	inDistribution = "../distribution"
	inAgent        = "../nodeagent"
	inReplication  = "../replication"
)

var faults = []fault{
	{"a refusal is told without contact", fileChange, []string{"		judged <- v\n		return out\n", "		judged <- v\n		if v != nil {\n			cancel()\n			return o.machine.Tick(now)\n		}\n		return out\n",
		"		return outcome(nil, replication.Answer{})\n", "		select {\n		case v := <-judged:\n			if v != nil {\n				return v\n			}\n		default:\n		}\n		return outcome(nil, replication.Answer{})\n"}, inThis, "^TestNoVerdictRightAfterTheCut$"},
	{"a configuration is shown without contact", fileOperator, []string{"if err != nil || ans.Result != replication.Confirmed {", "if false {",
		"\tans, err := s.submitAndWait(ctx, func(now time.Duration, token uint64) replication.Output { return s.replica.Read(now, token) })\n", "	var ans replication.Answer\n", "	\"time\"\n", ""}, inThis, "^TestNoVerdictRightAfterTheCut$"},
	{"a primary that was cut off takes up calls", fileAdmission, []string{"st.Ready && now.Sub(c.at) < leaderContactTimeout", "st.Ready"}, inThis, "^TestRedirectsLeadOn$"},
	{"calls are parked for as long as a change may take", fileAdmission, []string{"\tcallTimeout = 850 * time.Millisecond", "\tcallTimeout = 3 * time.Second",
		"partitionTimeout = 2 * time.Second", "partitionTimeout = 4 * time.Second"}, inThis, "^TestCutOffPrimary$"},
	{"callers are sent to whom the disk names", fileAdmission, []string{"st.Ready && c.at.After(came):", "st.Ready:"}, inThis, "^TestRe(startedOnWrongSide|directsLeadOn)$"},
	{"callers are sent to a primary that may be gone", fileAdmission, []string{"st.Ready && c.at.After(came):", "st.Ready && now.Sub(c.at) < leaderContactTimeout:"}, inThis, "^TestRedirectsLeadOn$"},
	{"a message to a process that was replaced is lost", filePeers, []string{"		if made || errors.Is(err, os.ErrDeadlineExceeded) {", "		if true || errors.Is(err, os.ErrDeadlineExceeded) {"}, inThis, "^TestMessageToAReplacedProcess$"},
	{"a connection that its peer has ended is written to", filePeers, []string{"\t\t\tgo closeOnEOF(c)\n", ""}, inThis, "^TestMessageToAReplacedProcess$"},
	{"a primary claims to be fresh without contact", filePulls, []string{"s.cache.RecordContact(st.PrimaryAddr, contact.at)", "s.cache.RecordContact(st.PrimaryAddr, time.Now())"}, inAgent, "^TestChangeReachesAgentInTime$/^the_primary"},
	{"an answer to an older round confirms a newer one", fileContact, []string{"	if c.open == 0 {\n		c.open, c.opened = round, now\n	}", "	c.open, c.opened = round, now", "c.open != 0 && c.open <= round", "c.open != 0 && round > 0"}, inReplication, "^TestContactInStorms$"},
	{"a round counts as confirmed before all have answered", filePrimary, []string{"m.contact.confirm(round)", "m.contact.confirm(m.round)"}, inReplication, "^TestContactInStorms$"},
	{"a cut-off primary polls on", filePoller, []string{`s.settings.Provider.Address != "" && s.isLeader(st)`, `s.settings.Provider.Address != "" && st.View.Primary == st.ID`}, inThis, "^TestCutOffPrimaryDoesNotPoll$"},
	{"the members are told by the primary alone", fileServer, []string{"\to.publishCoreMembers(&st)\n", ""}, inThis, "^TestRestartedOnWrongSide$"},
	{"an order is given without contact", filePhases, []string{"return p.confirmEpoch(ctx, epoch) && p.sendOrder(ctx, by, b, prefill, taken, epoch)", "return p.sendOrder(ctx, by, b, prefill, taken, epoch)"}, inThis, "^TestOrdersNeedContact$"},
	{"an order goes out under the fence of an earlier epoch", filePhases, []string{"ans.Result == replication.Confirmed && st.Epoch == epoch", "ans.Result == replication.Confirmed"}, inThis, "^TestOrdersNeedContact$"},
	{"an order goes out after a freeze", filePhases, []string{"	if !time.Now().Before(by) {\n		return false\n	}\n", ""}, inThis, "^TestOrderIsTooLateAfterAFreeze$"},
	{"an order that was given up may come later", fileBackend, []string{"_ = tcp.SetLinger(0)", "_ = tcp.SetLinger(-1)"}, inThis, "^TestOrderGivenUpIsReset$"},
	{"an old answer counts as new when it is read", fileWatcher, []string{"\tresponse.addTransitTime(sent)\n", ""}, inDistribution, "^TestLastContactIncludesTransitTime$"},
	{"the wait for news counts as age", fileCache, []string{"waited.Milliseconds()", "0 * waited.Milliseconds()"}, inDistribution, "^TestLastContactIncludesTransitTime$"},
	{"a control server that is cut off is kept", fileSource, []string{"\tif contactAge < s.maxContactAge {\n\t\ts.staleInARow = 0", "\tif contactAge < 20*s.maxContactAge {\n\t\ts.staleInARow = 0"}, inAgent, "^TestCutOffSourceIsLeftInTime$"},
	{"each control server is followed for a wait", fileSource, []string{"\tcase s.staleInARow < servers:\n\t\treturn 0\n", ""}, inAgent, "^TestCutOffSourceIsLeftInTime$"},
	{"a core without a primary is pressed", fileSource, []string{"\tcase s.staleInARow < servers:", "\tcase s.staleInARow >= 0:"}, inAgent, "^TestCoreWithoutPrimaryIsNotPressed$"},
	{"the list of a control server that is cut off replaces a newer one", fileAgent, []string{"if resource == nil || a.pending.superseded(lastContact) {", "if _ = lastContact; resource == nil {"}, inAgent, "^TestListPolledHereStands$"},
	{"a list that was polled before isn't passed on again", fileAgent, []string{"a.pending, a.polledList = pendingList{}, nil", "a.pending = pending{}"}, inAgent, "^TestListPolledHereStands$"},
}

// plant builds the tests of a package with a fault in it, by the compiler's overlay: nothing in the tree is changed. Without build it
// only looks whether the texts still fit.
func (f *fault) plant(c *qt.C, dir string, build bool) (binary string) {
	file, err := filepath.Abs(f.file)
	c.Assert(err, qt.IsNil)
	b, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	src := string(b)
	for pair := range slices.Chunk(f.texts, 2) {
		c.Assert(strings.Count(src, pair[0]), qt.Equals, 1, qt.Commentf("to be planted anew: %s: %q", f.name, pair[0]))
		src = strings.Replace(src, pair[0], pair[1], 1)
	}
	if !build {
		return ""
	}
	changed, overlay, binary := filepath.Join(dir, filepath.Base(file)), filepath.Join(dir, "overlay.json"), filepath.Join(dir, "planted.test")
	c.Assert(os.WriteFile(changed, []byte(src), 0o600), qt.IsNil)
	list, err := json.Marshal(map[string]map[string]string{"Replace": {file: changed}})
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(overlay, list, 0o600), qt.IsNil)
	out, err := exec.CommandContext(c.Context(), "go", "test", "-vet=off", "-p=2", "-c", "-overlay", overlay, "-o", binary, f.in).CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s: %s", f.name, out))
	return binary
}

// TestPlantedFaults: the faults still fit the sources; with -controlplane.planted each is planted, and the tests named have to find it.
func TestPlantedFaults(t *testing.T) {
	for _, f := range faults {
		t.Run(strings.ReplaceAll(f.name, " ", "_"), func(t *testing.T) {
			c := qt.New(t)
			binary := f.plant(c, t.TempDir(), *planted)
			if !*planted {
				return
			}
			cmd := exec.CommandContext(t.Context(), binary, "-test.run", f.by, "-test.timeout", "2m")
			cmd.Dir = f.in
			out, err := cmd.CombinedOutput()
			c.Assert(err, qt.IsNotNil, qt.Commentf("it was not found:\n%s", out))
			for line := range strings.Lines(string(out)) {
				if strings.Contains(line, "_test.go:") || strings.HasPrefix(line, "panic:") {
					t.Logf("found: %s", strings.TrimSpace(line))
					break
				}
			}
		})
	}
}
