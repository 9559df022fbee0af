package replication

// plantedFaults are deliberate errors in the protocol. TestPlantedFaults checks that each one still fits the sources
// and, with -replication.planted, that the kinds of tests in foundBy find it.
var plantedFaults = []plantedFault{
	{
		name: "a backup acknowledges changes that aren't on its disk",
		texts: []string{
			"\tm.saveChanges(rest[:taken]...)\n",
			"",
		},
		foundBy: "search,hand",
	},
	{
		name: "the primary's own disk isn't waited for",
		texts: []string{
			"\tm.saveChanges(c)\n",
			"",
		},
		foundBy: "search,hand",
	},
	{
		name: "a promise is kept in memory only",
		texts: []string{
			"\t\tm.vote.Promised = msg.Ballot\n\t\tm.saveVote()\n",
			"\t\tm.vote.Promised = msg.Ballot\n",
		},
		foundBy: "search,hand",
	},
	{
		name: "an acceptance is kept in memory only",
		texts: []string{
			"Accepted: msg.Ballot, Value: msg.Value}\n\t\tm.saveVote()\n",
			"Accepted: msg.Ballot, Value: msg.Value}\n",
		},
		foundBy: "search,hand",
	},
	{
		name: "a machine that lost its disk votes under its former identity",
		texts: []string{
			`ID(fmt.Sprintf("%016x%016x", m.opt.Rand(), m.opt.Rand()))`,
			`ID(fmt.Sprint("of ", m.opt.Self.Addr))`,
		},
		foundBy: "search,hand",
	},
	{
		name: "a snapshot on the disk is one change short",
		texts: []string{
			"Digest: m.log.digest, Body: body}",
			"Digest: m.log.digest, Body: func() []byte { n := len(body); for n > 0 && body[n-1] != 10 { n-- }; return body[:max(0, n-1)] }()}",
		},
		foundBy: "search,hand",
	},
	{
		name: "half of the members decide",
		texts: []string{
			"return members/2 + 1",
			"return (members + 1) / 2",
		},
		foundBy: "search",
	},
	{
		name: "a view is decided by one acceptance less than a majority",
		texts: []string{
			"len(c.accepted) >= m.view.quorum()",
			"len(c.accepted) >= m.view.quorum()-1",
		},
		foundBy: "search,hand",
	},
	{
		name: "a proposer keeps acknowledging",
		texts: []string{
			"\t\tm.replica.StoppedEpoch = m.view.Epoch + 1\n",
			"",
		},
		foundBy: "search,hand",
	},
	{
		name: "a proposer acknowledges again after a restart",
		texts: []string{
			"\t\tm.replica.StoppedEpoch = m.view.Epoch + 1\n\t\tm.saveReplica()\n",
			"\t\tm.replica.StoppedEpoch = m.view.Epoch + 1\n",
		},
		foundBy: "hand",
	},
	{
		name: "a stopped backup still acknowledges",
		texts: []string{
			"m.holdsRecord() && !m.stopped() && m.replica.InSyncEpoch",
			"m.holdsRecord() && m.replica.InSyncEpoch",
			"\tif !m.stopped() {\n\t\tif m.appendChanges",
			"\t{\n\t\tif m.appendChanges",
			"\tif msg.Stopped {\n\t\tm.recordStoppedBackup(p)\n\t\treturn\n\t}\n",
			"",
		},
		foundBy: "search,hand",
	},
	{
		name: "a write is acknowledged before the backups have it",
		texts: []string{
			"seq, round = min(seq, p.match), min(round, p.readRound)",
			"round = min(round, p.readRound)",
		},
		foundBy: "search,hand",
	},
	{
		name: "a read is not confirmed",
		texts: []string{
			"len(m.primary.progress) == 0 || w.at != 0 && w.at <= round",
			"true",
		},
		foundBy: "search,hand",
	},
	{
		name: "a read is confirmed by an earlier answer",
		texts: []string{
			"pendingRequest{token: token})\n\t\tm.advanceCommit()",
			"pendingRequest{token: token, at: m.primary.readRound})\n\t\tm.advanceCommit()",
		},
		foundBy: "search",
	},
	{
		name: "a view that others accepted is not proposed",
		texts: []string{
			"if newest != nil {",
			"if newest != nil && m.now < 0 {",
		},
		foundBy: "search,hand",
	},
	{
		name: "the oldest acceptance wins",
		texts: []string{
			"newest.accepted.less(p.accepted)",
			"p.accepted.less(newest.accepted)",
		},
		foundBy: "hand",
	},
	{
		name: "a lower ballot is promised too",
		texts: []string{
			"msg.Ballot.ID != msg.From.ID {\n\t\treturn\n\t}\n\tif msg.Ballot.less(m.vote.Promised) {",
			"msg.Ballot.ID != msg.From.ID {\n\t\treturn\n\t}\n\tif msg.Ballot.less(Ballot{}) {",
		},
		foundBy: "search,hand",
	},
	{
		name: "a lower ballot is accepted too",
		texts: []string{
			"!msg.Value.valid() {\n\t\treturn\n\t}\n\tif msg.Ballot.less(m.vote.Promised) {",
			"!msg.Value.valid() {\n\t\treturn\n\t}\n\tif msg.Ballot.less(Ballot{}) {",
		},
		foundBy: "search,hand",
	},
	{
		name: "a future backup isn't staged first",
		texts: []string{
			"if c.staged[b] || p != nil && p.holdsRecord {",
			"if c.staged[b] || p != nil {",
		},
		foundBy: "search,hand",
	},
	{
		name: "any backup counts as a holder",
		texts: []string{
			"m.view.rank(m.identity.ID) >= 0 && m.replica.RecordEpoch == m.view.Epoch",
			"m.view.rank(m.identity.ID) >= 0",
		},
		foundBy: "hand",
	},
	{
		name: "a late older snapshot is installed",
		texts: []string{
			"(m.replica.InSyncEpoch != m.view.Epoch || msg.Seq > m.log.seq)",
			"(m.now >= 0)",
		},
		foundBy: "search,hand",
	},
	{
		name: "a longer record counts as a prefix",
		texts: []string{
			"!m.stopped() && msg.Seq == m.log.seq && msg.Digest == m.log.digest",
			"!m.stopped()",
		},
		foundBy: "search",
	},
	{
		name: "a change follows any record",
		texts: []string{
			"ok := msg.Changes, msg.Seq == m.log.seq && msg.Digest == m.log.digest",
			"ok := msg.Changes, msg.Seq <= m.log.seq",
		},
		foundBy: "hand",
	},
	{
		name: "messages of an older view are processed",
		texts: []string{
			"if msg.Epoch < m.view.Epoch {",
			"if msg.Epoch+1 < m.view.Epoch {",
		},
		foundBy: "search",
	},
	{
		name: "a removed machine keeps its identity",
		texts: []string{
			"if m.identity.Joined && !v.has(m.identity.ID) {",
			"if m.identity.Joined && !v.has(m.identity.ID) && m.now < 0 {",
		},
		foundBy: "hand",
	},
	{
		name: "a decided view isn't kept on the disk",
		texts: []string{
			"\tm.saveView()\n\tm.saveVote()\n}\n",
			"\tm.saveVote()\n}\n",
		},
		foundBy: "search,hand",
	},
	{
		name: "a view of the same epoch replaces the one that is known",
		texts: []string{
			"if v.Epoch <= m.view.Epoch || !v.valid()",
			"if v.Epoch < m.view.Epoch || !v.valid()",
		},
		foundBy: "search,hand",
	},

	// Contact with a quorum.
	{
		name: "a read is confirmed by the answers to the round before",
		texts: []string{
			"w.at != 0 && w.at <= round",
			"w.at != 0 && w.at <= round+1",
		},
		foundBy: "search",
	},
	{
		name: "a read is confirmed by one of two backups",
		texts: []string{
			"\tm.answerReads(round)\n",
			"\tfor _, p := range m.primary.progress {\n\t\tround = max(round, p.readRound)\n\t}\n\tm.answerReads(round)\n",
		},
		foundBy: "search",
	},
	{
		name: "a write is acknowledged by one of two backups",
		texts: []string{
			"\tm.log.committed = max(m.log.committed, seq)\n",
			"\tfor _, p := range m.primary.progress {\n\t\tseq = max(seq, p.match)\n\t}\n\tm.log.committed = max(m.log.committed, seq)\n",
		},
		foundBy: "search,hand",
	},
	{
		name: "a thawed primary takes old answers for new ones",
		texts: []string{
			"\tfor _, p := range m.primary.progress {\n\t\tif p.stalledSince >= 0 {\n",
			"\tfor _, p := range m.primary.progress {\n\t\tp.readRound = m.primary.readRound\n\t\tif p.stalledSince >= 0 {\n",
		},
		foundBy: "search",
	},
	{
		name: "reads are confirmed by recent contact with a majority on the local clock",
		texts: []string{
			"len(m.primary.progress) == 0 || w.at != 0 && w.at <= round",
			"m.quorumAlive()",
		},
		foundBy: "search,hand",
	},
	{
		name: "a new primary assumes that its backups are in sync",
		texts: []string{
			"&progress{stalledSince: m.now}",
			"&progress{stalledSince: m.now, inSync: true, match: m.log.seq}",
		},
		foundBy: "search,hand",
	},
	{
		name: "a deposed primary acknowledges pending writes",
		texts: []string{
			"m.answer(w.token, LostPrimacy, w.at)",
			"m.answer(w.token, Committed, w.at)",
		},
		foundBy: "search,hand",
	},
	{
		name: "a primary that proposes keeps answering",
		texts: []string{
			"return m.primary.active && !m.stopped()",
			"return m.primary.active",
		},
		foundBy: "search",
	},
	{
		name: "a thawed machine considers the others lost",
		texts: []string{
			"\tif frozen {",
			"\tif frozen && m.now < 0 {",
		},
		foundBy: "hand",
	},

	// Changes of membership.
	{
		name: "a joiner counts as a holder before its disk has the record",
		texts: []string{
			"if c.staged[b] || p != nil && p.holdsRecord {",
			"if c.staged[b] || p == nil || p.holdsRecord {",
		},
		foundBy: "search",
	},
	{
		name: "the new members decide instead of the old",
		texts: []string{
			"len(c.accepted) >= m.view.quorum()",
			"len(c.accepted) >= c.value.quorum()",
		},
		foundBy: "search,hand",
	},
	{
		name: "members are removed below the minimum for the tolerance",
		texts: []string{
			"return max(3, 2*m.opt.Tolerance.Replicas()-1)",
			"return 1",
		},
		foundBy: "hand",
	},
	{
		name: "the older identity of an address stays a member",
		texts: []string{
			"\t\tplan.members[i], plan.changed = j, true\n\t\treturn true\n",
			"\t\treturn false\n",
		},
		foundBy: "search,hand",
	},
	{
		name: "a joiner that never answered is admitted",
		texts: []string{
			"if j.confirmed && !m.view.has(j.ID) {",
			"if !m.view.has(j.ID) {",
		},
		foundBy: "hand",
	},
	{
		name: "a joiner doesn't persist that it holds the record",
		texts: []string{
			"\t\t\tm.replica.RecordEpoch = m.view.Epoch\n\t\t\tm.saveReplica()\n",
			"\t\t\tm.replica.RecordEpoch = m.view.Epoch\n",
		},
		foundBy: "search,hand",
	},
	{
		name: "a machine that takes over removes members that it hasn't heard from",
		texts: []string{
			"\tif !m.primary.active {\n\t\treturn plan\n\t}\n",
			"",
		},
		foundBy: "search,hand",
	},
}
