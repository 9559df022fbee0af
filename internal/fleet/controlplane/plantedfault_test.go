package controlplane

import (
	"flag"
	"testing"

	"molepaddle/internal/plantedfault"
)

var (
	planted = flag.Bool("controlplane.planted", false,
		"plant each fault of TestPlantedFaults in turn and run the tests that have to find it, which takes minutes")
	finders = flag.String("controlplane.finders",
		"^Test(Verdicts|Resubmitted|Remembered|OlderBuilds|Damaged|LostLogTail|VerdictWaits|Histories)",
		"the tests that have to find each fault of TestPlantedIdempotencyFaults")
)

// Directories of other packages, for Dir and SourceDir of a plantedfault.Fault.
const (
	distributionDir = "../distribution"
	externalAPIDir  = "../externalapi"
	nodeAgentDir    = "../nodeagent"
	replicationDir  = "../replication"
)

// partitionFaults are faults in the behaviour of a machine without contact, in the age of the data that it passes on,
// and in phase orders.
var partitionFaults = []plantedfault.Fault{
	{
		Name:  "a change is rejected without contact",
		Tests: "^TestNoAnswerRightAfterPartition$",
		Texts: []string{
			"\t\tjudged <- v\n\t\treturn out\n",
			"\t\tjudged <- v\n\t\tif v != nil {\n\t\t\tcancel()\n\t\t\treturn s.replica.Tick(now)\n" +
				"\t\t}\n\t\treturn out\n",
			"\t\treturn outcome(nil, replication.Answer{})\n",
			"\t\tselect {\n\t\tcase v := <-judged:\n\t\t\tif v != nil {\n\t\t\t\treturn v\n\t\t\t}\n" +
				"\t\tdefault:\n\t\t}\n\t\treturn outcome(nil, replication.Answer{})\n",
		},
	},
	{
		Name:  "a configuration is shown without contact",
		Tests: "^TestNoAnswerRightAfterPartition$",
		Texts: []string{
			"\tans, err := s.confirmView(ctx)\n\tif err != nil || ans.Result != replication.Confirmed {\n",
			"\tvar ans replication.Answer\n\tif ctx == nil {\n",
		},
	},
	{
		Name:  "a partitioned primary answers calls",
		Tests: "^TestRedirectsNeverLoop$",
		Texts: []string{
			"st.Ready && now.Sub(c.at) < leaderContactTimeout",
			"st.Ready",
		},
	},
	{
		Name:  "calls wait for as long as a change may take",
		Tests: "^TestPartitionedPrimary$",
		Texts: []string{
			"\tcallTimeout = 850 * time.Millisecond",
			"\tcallTimeout = 3 * time.Second",
			"partitionTimeout = 2 * time.Second",
			"partitionTimeout = 4 * time.Second",
		},
	},
	{
		Name:  "callers are redirected to the primary on the disk",
		Tests: "^Test(RestartWhilePartitioned|RedirectsNeverLoop)$",
		Texts: []string{
			"st.Ready && c.at.After(receivedAt):",
			"st.Ready:",
		},
	},
	{
		Name:  "callers are redirected to a primary that may have failed",
		Tests: "^TestRedirectsNeverLoop$",
		Texts: []string{
			"st.Ready && c.at.After(receivedAt):",
			"st.Ready && now.Sub(c.at) < leaderContactTimeout:",
		},
	},
	{
		Name:  "a message to a process that was replaced is lost",
		Tests: "^TestMessageToAReplacedProcess$",
		Texts: []string{
			"if dialed || errors.Is(err, os.ErrDeadlineExceeded) {",
			"if true || errors.Is(err, os.ErrDeadlineExceeded) {",
		},
	},
	{
		Name:  "a connection that its peer has ended is written to",
		Tests: "^TestMessageToAReplacedProcess$",
		Texts: []string{
			"\t\t\tgo closeOnEOF(c)\n",
			"",
		},
	},
	{
		Name:      "a primary claims to be fresh without contact",
		Tests:     "^TestChangeReachesAgentInTime$/^the_primary",
		Dir:       nodeAgentDir,
		SourceDir: ".",
		Texts: []string{
			"s.cache.RecordContact(st.PrimaryAddr, contact.at)",
			"s.cache.RecordContact(st.PrimaryAddr, time.Now())",
		},
	},
	{
		Name:  "contact is renewed before the committed state is published",
		Tests: "^TestContactFollowsPublication$",
		Texts: []string{
			"\t\tif !s.processOutput(ctx, &out) {\n\t\t\tcontinue\n\t\t}\n",
			"",
			"\t\t\ts.contact.renew(s.replica.Status().Epoch, s.start.Add(began))\n\t\t}\n",
			"\t\t\ts.contact.renew(s.replica.Status().Epoch, s.start.Add(began))\n\t\t}\n" +
				"\t\tif !s.processOutput(ctx, &out) {\n\t\t\tcontinue\n\t\t}\n",
		},
	},
	{
		Name:  "an answer to an older round confirms a newer one",
		Tests: "^TestContactInStorms$",
		Dir:   replicationDir,
		Texts: []string{
			"\tif c.open == 0 {\n\t\tc.open, c.opened = round, now\n\t}",
			"\tc.open, c.opened = round, now",
			"c.open != 0 && c.open <= round",
			"c.open != 0 && round > 0",
		},
	},
	{
		Name:  "a round counts as confirmed before all have answered",
		Tests: "^TestContactInStorms$",
		Dir:   replicationDir,
		Texts: []string{
			"m.primary.contact.confirm(round)",
			"m.primary.contact.confirm(m.primary.readRound)",
		},
	},
	{
		Name:  "a partitioned primary continues to poll",
		Tests: "^TestPartitionedPrimaryDoesNotPoll$",
		Texts: []string{
			`s.settings.Provider.Address != "" && s.isLeader(st)`,
			`s.settings.Provider.Address != "" && st.View.Primary == st.ID`,
		},
	},
	{
		Name:  "only the primary publishes the members",
		Tests: "^TestRestartWhilePartitioned$",
		Texts: []string{
			"\ts.status.Store(&st)\n\ts.publishCoreMembers(&st)\n",
			"\ts.status.Store(&st)\n",
		},
	},
	{
		Name:  "a phase order is sent without contact",
		Tests: "^TestOrdersNeedContact$",
		Texts: []string{
			"if !p.confirmEpoch(ctx, epoch) {",
			"if false {",
		},
	},
	{
		Name:  "a fenced owner continues to send orders",
		Tests: "^TestFencedOwnerGivesNoMoreOrders$",
		Texts: []string{"\tp.fencedEpoch = epoch\n", ""},
	},
	{
		Name:  "an answer of any status counts as an acknowledgement",
		Tests: "^TestOrderAcknowledgement$",
		Texts: []string{"return err == nil && externalapi.OrderTaken(status)", "return err == nil"},
	},
	{
		Name:  "an order is sent with the fencing token of an earlier epoch",
		Tests: "^TestOrdersNeedContact$",
		Texts: []string{
			"ans.Result == replication.Confirmed && st.Epoch == epoch",
			"ans.Result == replication.Confirmed",
		},
	},
	{
		Name:  "an order is sent after a freeze",
		Tests: "^TestOrderDroppedAfterFreeze$",
		Texts: []string{
			"\tif !time.Now().Before(deadline) {\n\t\treturn false\n\t}\n",
			"",
		},
	},
	{
		Name:      "an order that timed out may arrive later",
		Tests:     "^TestTimedOutOrderResetsConnection$",
		Dir:       ".",
		SourceDir: externalAPIDir,
		Texts: []string{
			"_ = tcp.SetLinger(0)",
			"_ = tcp.SetLinger(-1)",
		},
	},
	{
		Name:  "an old answer counts as new when it is read",
		Tests: "^TestLastContactIncludesTransitTime$",
		Dir:   distributionDir,
		Texts: []string{
			"\tresponse.addTransitTime(w.receivedAt.Sub(sent))\n",
			"",
		},
	},
	{
		Name:  "a cache that lacks a change's base records the contact",
		Tests: "^TestLackingBaseRecordsNoContact$",
		Dir:   distributionDir,
		Texts: []string{
			"!slices.Contains(lacking, ConfigType)",
			"(true || !slices.Contains(lacking, ConfigType))",
		},
	},
	{
		Name:  "a cache that lacks a change's base records the contact, in a chain",
		Tests: "^TestContactIsNeverTooRecent$",
		Dir:   distributionDir,
		Texts: []string{
			"!slices.Contains(lacking, ConfigType)",
			"(true || !slices.Contains(lacking, ConfigType))",
		},
	},
	{
		Name:  "an age counts from when the response is applied",
		Tests: "^TestReceivedAtOutlastsAFreeze$",
		Dir:   distributionDir,
		Texts: []string{
			"{ return w.receivedAt }",
			"{ return time.Now() }",
		},
	},
	{
		Name:  "the contact is read after the content",
		Tests: "^TestContactIsNeverTooRecent$",
		Dir:   distributionDir,
		Texts: []string{
			"\t\tcontactAt, primary := c.contactAt, c.primary\n\t\tc.mu.Unlock()\n",
			"\t\tc.mu.Unlock()\n\t\ttime.Sleep(time.Millisecond)\n\t\trefresh()\n" +
				"\t\tcontactAt, primary := c.LastContact()\n",
		},
	},
	{
		Name:  "the wait for an update counts as age",
		Tests: "^TestLastContactIncludesTransitTime$",
		Dir:   distributionDir,
		Texts: []string{
			"waited.Milliseconds()",
			"0 * waited.Milliseconds()",
		},
	},
	{
		Name:  "a partitioned control server is kept",
		Tests: "^TestPartitionedServerIsLeftInTime$",
		Dir:   nodeAgentDir,
		Texts: []string{
			"\tif contactAge < s.maxContactAge {\n\t\ts.staleInARow = 0",
			"\tif contactAge < 20*s.maxContactAge {\n\t\ts.staleInARow = 0",
		},
	},
	{
		Name:  "each control server is followed for a complete wait",
		Tests: "^TestPartitionedServerIsLeftInTime$",
		Dir:   nodeAgentDir,
		Texts: []string{
			"\tcase s.staleInARow < servers:\n\t\treturn 0\n",
			"",
		},
	},
	{
		Name:  "a core without a primary is polled without a pause",
		Tests: "^TestPullRateIsBoundedWithoutPrimary$",
		Dir:   nodeAgentDir,
		Texts: []string{
			"\tcase s.staleInARow < servers:",
			"\tcase s.staleInARow >= 0:",
		},
	},
	{
		Name:  "the list of a partitioned control server replaces a newer one",
		Tests: "^TestDirectlyPolledListIsKept$",
		Dir:   nodeAgentDir,
		Texts: []string{
			"if resource == nil || a.pending.superseded(lastContact) {",
			"if _ = lastContact; resource == nil {",
		},
	},
	{
		Name:  "a list that was polled before isn't passed on again",
		Tests: "^TestDirectlyPolledListIsKept$",
		Dir:   nodeAgentDir,
		Texts: []string{
			"\ta.polledList = nil\n",
			"",
		},
	},
}

// TestPlantedFaults checks that the faults still match the sources. With -controlplane.planted it plants each fault,
// and the named tests must detect it.
func TestPlantedFaults(t *testing.T) {
	if !*planted {
		plantedfault.Fit(t, partitionFaults)
		return
	}
	plantedfault.Find(t, partitionFaults)
}
