package replication

// membershipFaults are deliberate errors in the admission, departure and replacement of members, planted like
// plantedFaults.
var membershipFaults = []plantedFault{
	{
		name: "the quorum may rest on a machine that just joined",
		texts: []string{
			"\tcase quorumSize(len(grown)) == quorumSize(len(members)):\n\t\treturn true\n\t}\n",
			"\t}\n\tif true {\n\t\treturn true\n\t}\n",
			"o := range m.absent(plan.members, m.opt.ElectionTimeout)",
			"o := range m.absent(nil, m.opt.ElectionTimeout)",
		},
		foundBy: "hand",
	},
	{
		name: "a joiner doesn't take the place of a lost member",
		texts: []string{
			"o := range m.absent(plan.members, m.opt.ElectionTimeout)",
			"o := range m.absent(nil, m.opt.ElectionTimeout)",
		},
		foundBy: "hand",
	},
	{
		name: "a leaver is released while it holds the record",
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
		name: "a leaver is released before the others are done",
		texts: []string{
			"pending := len(m.peers.departing) > 0 && (!m.ready() || m.canReplaceDeparting())",
			"pending := false",
		},
		foundBy: "hand",
	},
	{
		name: "a leaver stays a member",
		texts: []string{
			"return m.peers.departing[id] && m.view.rank(id) < 0",
			"return m.peers.departing[id] && m.view.rank(id) < -1",
		},
		foundBy: "hand",
	},
	{
		name: "a primary that leaves hands nothing over",
		texts: []string{
			"if !m.departure.begun || !m.ready() || m.candidacy != nil {",
			"if m.now >= 0 {",
		},
		foundBy: "hand",
	},
	{
		name: "a machine that leaves is made a backup again",
		texts: []string{
			"\t\t{!c.leaving, weightStays},\n",
			"",
			"if rest[best].lagged || rest[best].leaving {",
			"if rest[best].lagged {",
		},
		foundBy: "hand",
	},
	{
		name: "who was told to end asks to be taken in",
		texts: []string{
			`m.voter() == "" && !m.departure.begun`,
			`m.voter() == ""`,
		},
		foundBy: "hand",
	},
	{
		name: "a zone may come to hold a majority",
		texts: []string{
			"return m.opt.Tolerance.toleratedBy(before) && !m.opt.Tolerance.toleratedBy(after)",
			"return false",
		},
		foundBy: "hand",
	},
	{
		name: "a holder that leaves goes out of the members at once",
		texts: []string{
			"return m.peers.departing[id] && m.view.rank(id) < 0",
			"return m.peers.departing[id]",
		},
		foundBy: "hand",
	},
	{
		name: "a joiner that is about to end is taken in",
		texts: []string{
			"j != nil && msg.Leaving {",
			"j != nil && msg.Leaving && m.now < 0 {",
		},
		foundBy: "hand",
	},
	{
		name: "a backup takes over before it has what its primary has",
		texts: []string{
			"|| m.departure.begun || msg.Seq != m.log.seq || msg.Digest != m.log.digest {",
			"|| m.departure.begun {",
		},
		missed: "what it lacks was not acknowledged; the caller asks again",
	},
}
