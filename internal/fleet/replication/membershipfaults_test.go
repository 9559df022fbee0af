package replication

// membershipFaults are deliberate errors in the admission, departure and replacement of members, planted like
// plantedFaults.
var membershipFaults = []plantedFault{
	{
		name: "the quorum may depend on a machine that just joined",
		texts: []string{
			"\tcase quorumSize(len(grown)) == quorumSize(len(members)):\n\t\treturn true\n\t}\n",
			"\t}\n\tif true {\n\t\treturn true\n\t}\n",
			"o := range m.absent(plan.members, m.opt.ElectionTimeout)",
			"o := range m.absent(nil, m.opt.ElectionTimeout)",
		},
		foundBy: "hand",
	},
	{
		name: "a joiner doesn't replace a lost member",
		texts: []string{
			"o := range m.absent(plan.members, m.opt.ElectionTimeout)",
			"o := range m.absent(nil, m.opt.ElectionTimeout)",
		},
		foundBy: "hand",
	},
	{
		name: "a departing machine is released while it is primary or backup",
		texts: []string{
			"m.peers.departing[o.ID] && !pending && m.view.rank(o.ID) < 0",
			"m.peers.departing[o.ID] && !pending",
			"\tcase m.view.rank(m.identity.ID) >= 0:\n\t\treturn false\n\t}\n\treturn m.departure",
			"\t}\n\treturn m.departure",
			"return slices.ContainsFunc(m.view.Backups, leaves) || m.departure.begun",
			"return m.departure.begun",
		},
		foundBy: "hand",
	},
	{
		name: "a departing machine is released before it is replaced",
		texts: []string{
			"pending := len(m.peers.departing) > 0 && (!m.ready() || m.canReplaceDeparting())",
			"pending := false",
		},
		foundBy: "hand",
	},
	{
		name: "a departing machine stays a member",
		texts: []string{
			"return m.peers.departing[id] && m.view.rank(id) < 0",
			"return m.peers.departing[id] && m.view.rank(id) < -1",
		},
		foundBy: "hand",
	},
	{
		name: "a departing primary doesn't hand over",
		texts: []string{
			"if !m.departure.begun || !m.ready() || m.candidacy != nil {",
			"if m.now >= 0 {",
		},
		foundBy: "hand",
	},
	{
		name: "a departing machine becomes a backup again",
		texts: []string{
			"\t\t{!c.leaving, weightStays},\n",
			"",
			"if rest[best].lagged || rest[best].leaving {",
			"if rest[best].lagged {",
		},
		foundBy: "hand",
	},
	{
		name: "a departing machine asks to join",
		texts: []string{
			`m.voter() == "" && !m.departure.begun`,
			`m.voter() == ""`,
		},
		foundBy: "hand",
	},
	{
		name: "a zone may get a majority of the members",
		texts: []string{
			"return m.opt.Tolerance.toleratedBy(before) && !m.opt.Tolerance.toleratedBy(after)",
			"return false",
		},
		foundBy: "hand",
	},
	{
		name: "a departing primary or backup is removed from the members immediately",
		texts: []string{
			"return m.peers.departing[id] && m.view.rank(id) < 0",
			"return m.peers.departing[id]",
		},
		foundBy: "hand",
	},
	{
		name: "a departing joiner is admitted",
		texts: []string{
			"j != nil && msg.Leaving {",
			"j != nil && msg.Leaving && m.now < 0 {",
		},
		foundBy: "hand",
	},
	{
		name: "a backup takes over without all changes of its primary",
		texts: []string{
			"|| m.departure.begun || msg.Seq != m.log.seq || msg.Digest != m.log.digest {",
			"|| m.departure.begun {",
		},
		missed: "harmless: the missing changes were not acknowledged, so the caller retries them",
	},
}
