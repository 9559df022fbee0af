package settings

import "slices"

// minPorts is the number of ports of port_range that the system's own programs use (see package distribution).
const minPorts = 4

// Check returns findings for settings that Parse accepts, but that the roles of the process need; nil if there are
// none. name is the file's name in the findings. A program starts in spite of them, but can't do some of its work: it
// listens on a port that its clients don't know, or gets no list of backends.
func (s Settings) Check(name string) Findings {
	var findings Findings
	require := func(ok bool, key, text string) {
		if !ok {
			findings = append(findings, Finding{File: name, Key: key, Text: text})
		}
	}
	edge := slices.Contains(s.Roles, "edge")
	control := slices.Contains(s.Roles, "ctl")
	require(s.Ports[1]-s.Ports[0]+1 >= minPorts, "port_range",
		"must hold 4 ports or more: the programs use that many among themselves")
	require(!edge || s.Bind.Edge != "", "bind.edge", "must be given where roles has edge")
	require(!edge || s.Bind.Ready != "", "bind.readyz", "must be given where roles has edge")
	require(!control || s.Bind.Control != "", "bind.ctl", "must be given where roles has ctl")
	require(!control || s.DataDir != "", "datadir", "must be given where roles has ctl: the record lies there")
	require(len(s.Seeds) > 0, "peers", "must not be empty: nobody else is known")
	require(s.Provider.Address != "", "provider.address", "must be given: no backend is known without it")
	if len(s.Zones) > 0 && s.Zone != "" {
		region, ok := s.Zones[s.Zone]
		require(ok, "az", "must be one of azs")
		require(!ok || s.Region == "" || s.Region == region, "rgn", "must be the region that azs gives for az")
	}
	return findings
}
