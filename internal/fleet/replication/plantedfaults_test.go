package replication

// plantedFaults are deliberate errors in the protocol. TestPlantedFaults checks that each still fits the sources and,
// with -replication.planted, that the kinds of tests named by it find it.
var plantedFaults = []plantedFault{
	{"a backup acknowledges what isn't on its disk", []string{"\tm.saveChanges(rest[:taken]...)\n", ""}, "search,hand", ""},
	{"the primary's own disk isn't waited for", []string{"\tm.saveChanges(c)\n", ""}, "search,hand", ""},
	{"a promise is kept in memory only", []string{
		"\t\tm.vote.Promised = msg.Ballot\n\t\tm.saveVote()\n", "\t\tm.vote.Promised = msg.Ballot\n"}, "search,hand", ""},
	{"an acceptance is kept in memory only", []string{
		"Accepted: msg.Ballot, Value: msg.Value}\n\t\tm.saveVote()\n", "Accepted: msg.Ballot, Value: msg.Value}\n"}, "search,hand", ""},
	{"a machine without its disk votes as who it was", []string{
		`ID(fmt.Sprintf("%016x%016x", m.opt.Rand(), m.opt.Rand()))`, `ID(fmt.Sprint("of ", m.opt.Self.Addr))`}, "search,hand", ""},
	{"a snapshot on the disk is one change short", []string{
		"Digest: m.log.digest, Body: body}",
		"Digest: m.log.digest, Body: func() []byte { n := len(body); for n > 0 && body[n-1] != 10 { n-- }; return body[:max(0, n-1)] }()}"}, "search,hand", ""},
	{"half of the members decide", []string{"return members/2 + 1", "return (members + 1) / 2"}, "search", ""},
	{"a view is decided by fewer than promised", []string{
		"len(c.accepted) >= m.view.quorum()", "len(c.accepted) >= m.view.quorum()-1"}, "search,hand", ""},
	{"who proposes goes on answering", []string{
		"\t\tm.replica.StoppedEpoch = m.view.Epoch + 1\n", ""}, "search,hand", ""},
	{"who proposed answers again after a restart", []string{
		"\t\tm.replica.StoppedEpoch = m.view.Epoch + 1\n\t\tm.saveReplica()\n", "\t\tm.replica.StoppedEpoch = m.view.Epoch + 1\n"},
		"hand", ""},
	{"a stopped backup still acknowledges", []string{"m.holdsRecord() && !m.stopped() && m.replica.InSyncEpoch", "m.holdsRecord() && m.replica.InSyncEpoch",
		"\tif !m.stopped() {\n\t\tif m.appendChanges", "\t{\n\t\tif m.appendChanges", "\tif msg.Stopped {\n\t\tm.recordStoppedBackup(p)\n\t\treturn\n\t}\n", ""}, "search,hand", ""},
	{"a write is acknowledged before the backups have it", []string{
		"seq, round = min(seq, p.match), min(round, p.readRound)", "round = min(round, p.readRound)"}, "search,hand", ""},
	{"a read is not confirmed", []string{"len(m.primary.progress) == 0 || w.at != 0 && w.at <= round", "true"}, "search,hand", ""},
	{"a read is confirmed by an earlier answer", []string{
		"pendingRequest{token: token})\n\t\tm.advanceCommit()", "pendingRequest{token: token, at: m.primary.readRound})\n\t\tm.advanceCommit()"}, "search", ""},
	{"what others accepted is not proposed", []string{"if newest != nil {", "if newest != nil && m.now < 0 {"}, "search,hand", ""},
	{"the oldest acceptance wins", []string{"newest.accepted.less(p.accepted)", "p.accepted.less(newest.accepted)"},
		"hand", ""},
	{"a lower ballot is promised too", []string{
		"msg.Ballot.ID != msg.From.ID {\n\t\treturn\n\t}\n\tif msg.Ballot.less(m.vote.Promised) {", "msg.Ballot.ID != msg.From.ID {\n\t\treturn\n\t}\n\tif msg.Ballot.less(Ballot{}) {"}, "search,hand", ""},
	{"a lower ballot is accepted too", []string{
		"!msg.Value.valid() {\n\t\treturn\n\t}\n\tif msg.Ballot.less(m.vote.Promised) {", "!msg.Value.valid() {\n\t\treturn\n\t}\n\tif msg.Ballot.less(Ballot{}) {"}, "search,hand", ""},
	{"a coming backup isn't brought the record first", []string{
		"if c.staged[b] || p != nil && p.holdsRecord {", "if c.staged[b] || p != nil {"}, "search,hand", ""},
	{"any backup counts as a holder", []string{"m.view.rank(m.identity.ID) >= 0 && m.replica.RecordEpoch == m.view.Epoch", "m.view.rank(m.identity.ID) >= 0"},
		"hand", ""},
	{"an older snapshot is taken late", []string{"(m.replica.InSyncEpoch != m.view.Epoch || msg.Seq > m.log.seq)", "(m.now >= 0)"}, "search,hand", ""},
	{"a longer record counts as a prefix", []string{"!m.stopped() && msg.Seq == m.log.seq && msg.Digest == m.log.digest", "!m.stopped()"}, "search", ""},
	{"a change follows any record", []string{
		"ok := msg.Changes, msg.Seq == m.log.seq && msg.Digest == m.log.digest", "ok := msg.Changes, msg.Seq <= m.log.seq"},
		"hand", ""},
	{"words of an older view count", []string{"if msg.Epoch < m.view.Epoch {", "if msg.Epoch+1 < m.view.Epoch {"}, "search", ""},
	{"who was left out keeps its identity", []string{"if m.identity.Joined && !v.has(m.identity.ID) {", "if m.identity.Joined && !v.has(m.identity.ID) && m.now < 0 {"},
		"hand", ""},
	{"a decided view isn't kept on the disk", []string{"\tm.saveView()\n\tm.saveVote()\n}\n", "\tm.saveVote()\n}\n"}, "search,hand", ""},
	{"a view of the same epoch replaces the one that is known", []string{"if v.Epoch <= m.view.Epoch || !v.valid()", "if v.Epoch < m.view.Epoch || !v.valid()"},
		"search,hand", ""},

	// Contact with a quorum.
	{"a read is confirmed by the answers to the round before", []string{
		"w.at != 0 && w.at <= round", "w.at != 0 && w.at <= round+1"}, "search", ""},
	{"a read is confirmed by one of two backups", []string{
		"\tm.answerReads(round)\n", "\tfor _, p := range m.primary.progress {\n\t\tround = max(round, p.readRound)\n\t}\n\tm.answerReads(round)\n"}, "search", ""},
	{"a write is acknowledged by one of two backups", []string{
		"\tm.log.committed = max(m.log.committed, seq)\n", "\tfor _, p := range m.primary.progress {\n\t\tseq = max(seq, p.match)\n\t}\n\tm.log.committed = max(m.log.committed, seq)\n"}, "search,hand", ""},
	{"a thawed primary takes old answers for new ones", []string{
		"\tfor _, p := range m.primary.progress {\n\t\tif p.stalledSince >= 0 {\n", "\tfor _, p := range m.primary.progress {\n\t\tp.readRound = m.primary.readRound\n\t\tif p.stalledSince >= 0 {\n"}, "search", ""},
	{"reads are served while a majority was heard lately by the own clock", []string{
		"len(m.primary.progress) == 0 || w.at != 0 && w.at <= round", "m.quorumAlive()"}, "search,hand", ""},
	{"a new primary takes its backups to be in step", []string{
		"&progress{stalledSince: m.now}", "&progress{stalledSince: m.now, inSync: true, match: m.log.seq}"}, "search,hand", ""},
	{"a deposed primary acknowledges what waited", []string{
		"m.answer(w.token, LostPrimacy, w.at)", "m.answer(w.token, Committed, w.at)"}, "search,hand", ""},
	{"a primary that proposes goes on answering", []string{
		"return m.primary.active && !m.stopped()", "return m.primary.active"}, "search", ""},
	{"a thawed machine takes the others' silence for their loss", []string{"\tif frozen {", "\tif frozen && m.now < 0 {"}, "hand", ""},

	// Changes of membership.
	{"a joiner counts as a holder before its disk has the record", []string{
		"if c.staged[b] || p != nil && p.holdsRecord {", "if c.staged[b] || p == nil || p.holdsRecord {"}, "search", ""},
	{"the new members decide instead of the old", []string{
		"len(c.accepted) >= m.view.quorum()", "len(c.accepted) >= c.value.quorum()"}, "search,hand", ""},
	{"members are left out below what may be lost", []string{
		"return max(3, 2*m.opt.Tolerance.Replicas()-1)", "return 1"}, "hand", ""},
	{"the older identity of an address stays a member", []string{
		"\t\tplan.members[i], plan.changed = j, true\n\t\treturn true\n", "\t\treturn false\n"}, "search,hand", ""},
	{"a joiner that never answered is taken in", []string{"if j.confirmed && !m.view.has(j.ID) {", "if !m.view.has(j.ID) {"}, "hand", ""},
	{"a joiner's disk doesn't say that it holds the record", []string{
		"\t\t\tm.replica.RecordEpoch = m.view.Epoch\n\t\t\tm.saveReplica()\n", "\t\t\tm.replica.RecordEpoch = m.view.Epoch\n"}, "search,hand", ""},
	{"who takes over leaves out whom it hasn't heard", []string{
		"\tif !m.primary.active {\n\t\treturn plan\n\t}\n", ""}, "search,hand", ""},
}
