package settings

import "slices"

// minPorts is how many ports of port_range the system's own programs use (distribution's ports).
const minPorts = 4

// Check returns what settings that Parse accepted still lack for what the process serves, nil where nothing is
// missing; name is the file's, for the findings. A program starts all the same, but some of its work can't be done:
// it listens at a port that nobody knows, or learns of no backend.
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
