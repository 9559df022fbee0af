package settings

import "time"

// readSettings reads all settings from the file's top table, and adds findings to the table's list, in the order of the
// reads.
func readSettings(top table) Settings {
	bind := top.subtable("bind")
	limits := top.subtable("caps")
	survive := top.subtable("survive")
	bounds := top.subtable("bnds")
	provider := top.subtable("provider")
	return Settings{
		NodeName:  top.stringAt("nodename", ruleRequired),
		Role:      top.stringAt("role"),
		Tier:      top.stringAt("tier"),
		Roles:     top.stringsAt("roles"),
		IP:        top.stringAt("ip", ruleRequired, ruleIP),
		Zone:      top.stringAt("az"),
		Region:    top.stringAt("rgn"),
		Ports:     top.portRangeAt("port_range"),
		Seeds:     top.stringsAt("peers", ruleRequired, ruleAddress),
		Bootstrap: top.boolAt("bootstrap"),
		Voting:    top.boolAt("voting"),
		DataDir:   top.stringAt("datadir"),
		Discovery: top.stringAt("disco"),
		Ingress:   top.stringAt("ingress"),
		Heartbeat: top.durationAt("heartbeat_ms", time.Millisecond, time.Second, rulePositive...),
		Clauses:   top.stringsAt("clauses"),
		Zones:     top.subtable("azs").stringMap(),
		Bind:      readBind(bind),
		Limits:    readLimits(limits),
		Survive:   readSurvive(survive),
		Bounds:    readBounds(bounds),
		Provider:  readProvider(provider),
	}
}

// readBind reads the addresses to serve on.
func readBind(t table) Bind {
	return Bind{
		Edge:    t.stringAt("edge", ruleListen),
		Ready:   t.stringAt("readyz", ruleListen),
		Control: t.stringAt("ctl", ruleListen),
	}
}

// readLimits reads the limits on the process's resources.
func readLimits(t table) Limits {
	return Limits{
		CPUFraction: t.numberAt("cpu_frac", 0, ruleNotNegative),
		CPUs:        t.numberAt("ncpu", 0, ruleNotNegative),
		MemoryMB:    t.numberAt("ram_mb", 0, ruleNotNegative),
		Files:       t.integerAt("nofile", ruleNotNegative),
		LinkMbps:    t.numberAt("bw_mbps", 0, ruleNotNegative),
		DiskMB:      t.numberAt("disk_mb", 0, ruleNotNegative),
	}
}

// readSurvive reads the numbers of simultaneous losses that the system must survive.
func readSurvive(t table) Survive {
	return Survive{
		Nodes:   t.integerAt("nodes", ruleNotNegative),
		Zones:   t.integerAt("azs", ruleNotNegative),
		Regions: t.integerAt("rgns", ruleNotNegative),
	}
}

// readBounds reads the bounds of the rules.
func readBounds(t table) Bounds {
	return Bounds{
		PeerLag:     t.durationAt("peer_lag_s", time.Second, 3*time.Second, ruleNotNegative),
		AddrReuse:   t.durationAt("addr_reuse_s", time.Second, 2*time.Second, ruleNotNegative),
		Contact:     t.durationAt("contact_ms", time.Millisecond, 3*time.Second, rulePositive...),
		Ack:         t.durationAt("ack_ms", time.Millisecond, 4*time.Second, rulePositive...),
		Sync:        t.durationAt("sync_s", time.Second, 4*time.Second, ruleNotNegative),
		Drain:       t.durationAt("drain_ms", time.Millisecond, 3*time.Second, rulePositive...),
		Grace:       t.durationAt("grace_s", time.Second, 8*time.Second, rulePositive...),
		LossSlack:   t.durationAt("loss_slack_ms", time.Millisecond, 200*time.Millisecond, ruleNotNegative),
		Apply:       t.durationAt("apply_ms", time.Millisecond, 2*time.Second, rulePositive...),
		Downgrade:   t.durationAt("downgrade_ms", time.Millisecond, 250*time.Millisecond, ruleNotNegative),
		Skew:        t.durationAt("skew_ms", time.Millisecond, 5*time.Second, ruleNotNegative),
		RetryRatio:  t.numberAt("retry_ratio", 0.2, ruleNotNegative),
		RetryWindow: t.durationAt("retry_window_s", time.Second, 10*time.Second, rulePositive...),
		RetryExtra:  t.numberAt("retry_extra", 54, ruleNotNegative),
		Heal:        t.durationAt("heal_s", time.Second, 12*time.Second, ruleNotNegative),
		Transit:     t.durationAt("transit_ms", time.Millisecond, 120*time.Millisecond, ruleNotNegative),
		Again:       t.durationAt("again_s", time.Second, 0, ruleNotNegative),
		Fencing:     t.boolAt("fencing"),
		Lease:       t.durationAt("lease_ms", time.Millisecond, 3*time.Second, ruleNotNegative),
		Unfreeze:    t.durationAt("unfreeze_ms", time.Millisecond, 300*time.Millisecond, ruleNotNegative),
		Version:     t.durationAt("version_ms", time.Millisecond, 0, ruleNotNegative),

		StrictRevoke: t.boolAt("strict_revoke"),
		Revoke:       t.durationAt("revoke_ms", time.Millisecond, 5*time.Second, rulePositive...),
		QuotaWindow:  t.durationAt("quota_win_s", time.Second, 5*time.Second, rulePositive...),
		QuotaExcess:  t.numberAt("quota_excess", 0.1, ruleNotNegative),
		QuotaExtra:   t.numberAt("quota_extra", 20, ruleNotNegative),
	}
}

// readProvider reads the source of the list of backends.
func readProvider(t table) Provider {
	return Provider{
		Address: t.stringAt("address", ruleAddress),
		Rate:    t.numberAt("rate_s", 1, ruleNotNegative),
		Jobs:    t.stringsAt("jobs"),
		Delay:   t.durationAt("delay_ms", time.Millisecond, time.Second, ruleNotNegative),
	}
}
