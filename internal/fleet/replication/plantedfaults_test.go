package replication

// plantedFaults are deliberate errors in the protocol. TestPlantedFaults checks that each still fits the sources and, with
// -replication.planted, that the kinds of tests named by it find it.
var plantedFaults = []plantedFault{
	{"a backup acknowledges what isn't on its disk", []string{"\tm.keep(rest[:taken]...)\n", ""}, "search,hand", ""},
	{"the primary's own disk isn't waited for", []string{"\tm.keep(c)\n", ""}, "search,hand", ""},
	{"a promise is kept in memory only", []string{
		"\t\tm.vote.Promised = msg.Ballot\n\t\tm.putVote()\n", "\t\tm.vote.Promised = msg.Ballot\n"}, "search,hand", ""},
	{"an acceptance is kept in memory only", []string{
		"Accepted: msg.Ballot, Value: msg.Value}\n\t\tm.putVote()\n", "Accepted: msg.Ballot, Value: msg.Value}\n"}, "search,hand", ""},
	{"a machine without its disk votes as who it was", []string{
		`ID(fmt.Sprintf("%016x%016x", m.opt.Rand(), m.opt.Rand()))`, `ID(fmt.Sprint("of ", m.opt.Self.Addr))`}, "search,hand", ""},
	{"a snapshot on the disk is one change short", []string{
		"Digest: m.digest, Body: body}",
		"Digest: m.digest, Body: func() []byte { n := len(body); for n > 0 && body[n-1] != 10 { n-- }; return body[:max(0, n-1)] }()}"}, "search,hand", ""},
	{"half of the members decide", []string{"return members/2 + 1", "return (members + 1) / 2"}, "search", ""},
	{"a view is decided by fewer than promised", []string{
		"len(c.accepted) >= m.view.majority()", "len(c.accepted) >= m.view.majority()-1"}, "search,hand", ""},
	{"who proposes goes on answering", []string{
		"\t\tm.stand.StoppedEpoch = m.view.Epoch + 1\n", ""}, "search,hand", ""},
	{"who proposed answers again after a restart", []string{
		"\t\tm.stand.StoppedEpoch = m.view.Epoch + 1\n\t\tm.putStanding()\n", "\t\tm.stand.StoppedEpoch = m.view.Epoch + 1\n"},
		"hand", ""},
	{"a stopped backup still acknowledges", []string{"m.holder() && !m.stopped() && m.stand.StepEpoch", "m.holder() && m.stand.StepEpoch",
		"\tif !m.stopped() {\n\t\tif m.follow", "\t{\n\t\tif m.follow", "\tif msg.Stopped {\n\t\tm.stoppedPeer(p)\n\t\treturn\n\t}\n", ""}, "search,hand", ""},
	{"a write is acknowledged before the backups have it", []string{
		"seq, round = min(seq, p.seq), min(round, p.round)", "round = min(round, p.round)"}, "search,hand", ""},
	{"a read is not confirmed", []string{"len(m.peers) == 0 || w.at != 0 && w.at <= round", "true"}, "search,hand", ""},
	{"a read is confirmed by an earlier answer", []string{
		"waiting{token: token})\n\t\tm.advance()", "waiting{token: token, at: m.round})\n\t\tm.advance()"}, "search", ""},
	{"what others accepted is not proposed", []string{"if newest != nil {", "if newest != nil && m.now < 0 {"}, "search,hand", ""},
	{"the oldest acceptance wins", []string{"newest.accepted.less(p.accepted)", "p.accepted.less(newest.accepted)"},
		"hand", ""},
	{"a lower ballot is promised too", []string{
		"msg.Ballot.ID != msg.From.ID {\n\t\treturn\n\t}\n\tif msg.Ballot.less(m.vote.Promised) {", "msg.Ballot.ID != msg.From.ID {\n\t\treturn\n\t}\n\tif msg.Ballot.less(Ballot{}) {"}, "search,hand", ""},
	{"a lower ballot is accepted too", []string{
		"!msg.Value.valid() {\n\t\treturn\n\t}\n\tif msg.Ballot.less(m.vote.Promised) {", "!msg.Value.valid() {\n\t\treturn\n\t}\n\tif msg.Ballot.less(Ballot{}) {"}, "search,hand", ""},
	{"a coming backup isn't brought the record first", []string{
		"if c.staged[b] || p != nil && p.holder {", "if c.staged[b] || p != nil {"}, "search,hand", ""},
	{"any backup counts as a holder", []string{"m.view.rank(m.id.ID) >= 0 && m.stand.RecordEpoch == m.view.Epoch", "m.view.rank(m.id.ID) >= 0"},
		"hand", ""},
	{"an older snapshot is taken late", []string{"(m.stand.StepEpoch != m.view.Epoch || msg.Seq > m.seq)", "(m.now >= 0)"}, "search,hand", ""},
	{"a longer record counts as a prefix", []string{"!m.stopped() && msg.Seq == m.seq && msg.Digest == m.digest", "!m.stopped()"}, "search", ""},
	{"a change follows any record", []string{
		"ok := msg.Changes, msg.Seq == m.seq && msg.Digest == m.digest", "ok := msg.Changes, msg.Seq <= m.seq"},
		"hand", ""},
	{"words of an older view count", []string{"if msg.Epoch < m.view.Epoch {", "if msg.Epoch+1 < m.view.Epoch {"}, "search", ""},
	{"who was left out keeps its identity", []string{"if m.id.Joined && !v.has(m.id.ID) {", "if m.id.Joined && !v.has(m.id.ID) && m.now < 0 {"},
		"hand", ""},
	{"a decided view isn't kept on the disk", []string{"\t\tm.putView()\n\t\tm.putVote()\n\t}\n\theard", "\t\tm.putVote()\n\t}\n\theard"}, "search,hand", ""},
	{"a view of the same epoch replaces the one that is known", []string{"if v.Epoch <= m.view.Epoch || !v.valid()", "if v.Epoch < m.view.Epoch || !v.valid()"},
		"search,hand", ""},

	// Contact with a quorum.
	{"a read is confirmed by the answers to the round before", []string{
		"w.at != 0 && w.at <= round", "w.at != 0 && w.at <= round+1"}, "search", ""},
	{"a read is confirmed by one of two backups", []string{
		"\tdone := 0\n", "\tfor _, p := range m.peers {\n\t\tround = max(round, p.round)\n\t}\n\tdone := 0\n"}, "search", ""},
	{"a write is acknowledged by one of two backups", []string{
		"\tm.committed = max(m.committed, seq)\n", "\tfor _, p := range m.peers {\n\t\tseq = max(seq, p.seq)\n\t}\n\tm.committed = max(m.committed, seq)\n"}, "search,hand", ""},
	{"a thawed primary takes old answers for new ones", []string{
		"\t\tfor _, p := range m.peers {\n\t\t\tif p.behind >= 0 {\n", "\t\tfor _, p := range m.peers {\n\t\t\tp.round = m.round\n\t\t\tif p.behind >= 0 {\n"}, "search", ""},
	{"reads are served while a majority was heard lately by the own clock", []string{
		"len(m.peers) == 0 || w.at != 0 && w.at <= round", "m.majorityAlive()"}, "search,hand", ""},
	{"a new primary takes its backups to be in step", []string{
		"&peer{behind: m.now}", "&peer{behind: m.now, step: true, seq: m.seq}"}, "search,hand", ""},
	{"a deposed primary acknowledges what waited", []string{
		"m.answer(w.token, LostPrimacy, w.at)", "m.answer(w.token, Committed, w.at)"}, "search,hand", ""},
	{"a primary that proposes goes on answering", []string{
		"return m.led && !m.stopped()", "return m.led"}, "search", ""},
	{"a thawed machine takes the others' silence for their loss", []string{"\tif frozen {", "\tif frozen && m.now < 0 {"}, "hand", ""},

	// Changes of membership.
	{"a joiner counts as a holder before its disk has the record", []string{
		"if c.staged[b] || p != nil && p.holder {", "if c.staged[b] || p == nil || p.holder {"}, "search", ""},
	{"the new members decide instead of the old", []string{
		"len(c.accepted) >= m.view.majority()", "len(c.accepted) >= c.value.majority()"}, "search,hand", ""},
	{"members are left out below what may be lost", []string{
		"return max(3, 2*m.opt.Survive.Copies()-1)", "return 1"}, "hand", ""},
	{"the older identity of an address stays a member", []string{
		"\t\tplan.members[i], plan.changed = j, true\n\t\treturn true\n", "\t\treturn false\n"}, "search,hand", ""},
	{"a joiner that never answered is taken in", []string{"if j.confirmed && !m.view.has(j.ID) {", "if !m.view.has(j.ID) {"}, "hand", ""},
	{"a joiner's disk doesn't say that it holds the record", []string{
		"\t\t\tm.stand.RecordEpoch = m.view.Epoch\n\t\t\tm.putStanding()\n", "\t\t\tm.stand.RecordEpoch = m.view.Epoch\n"}, "search,hand", ""},
	{"who takes over leaves out whom it hasn't heard", []string{
		"\tif !m.led {\n\t\treturn plan\n\t}\n", ""}, "search,hand", ""},
}
