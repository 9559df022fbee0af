package replication

// membershipFaults are deliberate errors in how members come, leave and are replaced, laid like plantedFaults.
var membershipFaults = []plantedFault{
	{"the quorum may rest on a machine that just joined", []string{
		"\tcase majorityOf(len(grown)) == majorityOf(len(members)):\n\t\treturn true\n\t}\n", "\t}\n\tif true {\n\t\treturn true\n\t}\n",
		"o := range m.absent(plan.members, m.opt.SuspectAfter)", "o := range m.absent(nil, m.opt.SuspectAfter)"}, "hand", ""},
	{"a joiner doesn't take the place of a lost member", []string{
		"o := range m.absent(plan.members, m.opt.SuspectAfter)", "o := range m.absent(nil, m.opt.SuspectAfter)"}, "hand", ""},
	{"a leaver is released while it holds the record", []string{
		"m.leavers[o.ID] && !pending && m.view.rank(o.ID) < 0", "m.leavers[o.ID] && !pending",
		"\tcase m.view.rank(m.id.ID) >= 0:\n\t\treturn false\n\t}\n\treturn m.leave", "\t}\n\treturn m.leave",
		"return slices.ContainsFunc(m.view.Backups, leaves) || m.leave.begun", "return m.leave.begun"}, "hand", ""},
	{"a leaver is released before the others are done", []string{
		"pending := len(m.leavers) > 0 && (!m.ready() || m.relievesLeavers())", "pending := false"}, "hand", ""},
	{"a leaver stays a member", []string{"return m.leavers[id] && m.view.rank(id) < 0", "return m.leavers[id] && m.view.rank(id) < -1"}, "hand", ""},
	{"a primary that leaves hands nothing over", []string{"if !m.leave.begun || !m.ready() || m.cand != nil {", "if m.now >= 0 {"}, "hand", ""},
	{"a machine that leaves is made a backup again", []string{
		"\t\t{!c.leaving, weightStays},\n", "", "if rest[best].slow || rest[best].leaving {", "if rest[best].slow {"}, "hand", ""},
	{"who was told to end asks to be taken in", []string{`m.voter() == "" && !m.leave.begun`, `m.voter() == ""`}, "hand", ""},
	{"a zone may come to hold a majority", []string{"return m.opt.Survive.borneBy(before) && !m.opt.Survive.borneBy(after)", "return false"}, "hand", ""},
	{"a holder that leaves goes out of the members at once", []string{
		"return m.leavers[id] && m.view.rank(id) < 0", "return m.leavers[id]"}, "hand", ""},
	{"a joiner that is about to end is taken in", []string{"j != nil && msg.Leaving {", "j != nil && msg.Leaving && m.now < 0 {"}, "hand", ""},
	{"a backup takes over before it has what its primary has", []string{"|| m.leave.begun || msg.Seq != m.seq || msg.Digest != m.digest {", "|| m.leave.begun {"}, "",
		"what it lacks was not acknowledged; the caller asks again"},
}
