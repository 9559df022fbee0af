// Package settings reads and checks the settings file of a process (DEPLOY.md, "Settings of a process"): TOML, its
// path in the environment variable MOLEPADDLE_CONFIG. Unknown keys are ignored. All findings are collected,
// each with its file and key, and reported together.
//
// The package neither watches the file nor stores settings: a Settings is a value that its owner may copy. All
// functions may be called from any goroutine.
package settings

import "time"

// Settings are the settings of one process. The TOML key is in parentheses; "required" means that Parse rejects a file
// without it. A field without a default is empty, 0 or false if its key is missing.
type Settings struct {
	// NodeName is the machine's name; required. (nodename)
	NodeName string
	// Role is the name of the role in the deploy file. (role)
	Role string
	// Tier is the class of machines, "edge" or "core". (tier)
	Tier string
	// Roles are the external services of the process: "edge" for clients, "ctl" for the operator. (roles)
	Roles []string
	// IP is the machine's IPv4 address; required. (ip)
	IP string
	// Zone is the availability zone that the machine is in. (az)
	Zone string
	// Region is the region that the machine is in. (rgn)
	Region string
	// Ports are the first and the last port for the system's own programs; required, 1 to 65535, the first not above
	// the last. Package distribution assigns them to programs. (port_range)
	Ports [2]int
	// Seeds are the control addresses (IP:port) of a few machines, from which a process learns the other addresses;
	// they may be down or removed. (peers)
	Seeds []string
	// Bootstrap is true only at the very first start of the whole system. (bootstrap)
	Bootstrap bool
	// Voting is true for machines that Survive.Nodes counts. (voting)
	Voting bool
	// DataDir is the folder on the machine's disk; empty if there is none. (datadir)
	DataDir string
	// Discovery is the name of the method by which backends are listed. (disco)
	Discovery string
	// Ingress is the name of the method by which clients reach the proxies. (ingress)
	Ingress string
	// Heartbeat is the heartbeat interval, from which lease terms and time-outs are derived; in ms, default 1000, above
	// 0. (heartbeat_ms)
	Heartbeat time.Duration
	// Clauses are the parts of the rules in force. (clauses)
	Clauses []string
	// Zones gives the region of each zone. (azs)
	Zones map[string]string
	// Bind holds the addresses to serve on. (bind)
	Bind Bind
	// Limits are the limits on the process's resources. (caps)
	Limits Limits
	// Survive are the numbers of simultaneous losses that the system must survive. (survive)
	Survive Survive
	// Bounds are the bounds of the rules. (bnds)
	Bounds Bounds
	// Provider is the source of the list of backends. (provider)
	Provider Provider
}

// Bind holds the addresses (IP:port) that the process listens on; empty if it doesn't. With port 0 the kernel chooses
// the port, for tests.
type Bind struct {
	// Edge is for clients' requests. (bind.edge)
	Edge string
	// Ready is for the platform's readiness checks. (bind.readyz)
	Ready string
	// Control is for the operator's calls. (bind.ctl)
	Control string
}

// Limits are the limits on the process's resources. 0, the default of each: no limit is given.
type Limits struct {
	// CPUFraction is the share of one core. (caps.cpu_frac)
	CPUFraction float64
	// CPUs is the factor by which that share is faster. (caps.ncpu)
	CPUs float64
	// MemoryMB is the memory, in MiB, above which the process is killed. (caps.ram_mb)
	MemoryMB float64
	// Files is the number of descriptors, 200 of which are reserved for files outside the data folder. (caps.nofile)
	Files int
	// LinkMbps is the bandwidth of the machine's link, in Mbit/s. (caps.bw_mbps)
	LinkMbps float64
	// DiskMB is the size of the disk, in MB. (caps.disk_mb)
	DiskMB float64
}

// Survive are the numbers of simultaneous losses during which the system must keep all rules. The default of each is 0.
type Survive struct {
	// Nodes is the number of machines, of those with Settings.Voting. (survive.nodes)
	Nodes int
	// Zones is the number of zones. (survive.azs)
	Zones int
	// Regions is the number of regions. (survive.rgns)
	Regions int
}

// Bounds are the bounds of the rules (RULES.md). Times are in seconds if the key ends in _s and in milliseconds if it
// ends in _ms, fractions allowed. The defaults are those of DEPLOY.md's example, except for fencing.
type Bounds struct {
	// PeerLag is the delay of the operator's list of agents; default 3 s. (bnds.peer_lag_s)
	PeerLag time.Duration
	// AddrReuse is the time after a backend's end before its address may serve another service; default 2 s.
	// (bnds.addr_reuse_s)
	AddrReuse time.Duration
	// Contact is the time without a fault after which a machine counts as connected; default 3000 ms, above 0.
	// (bnds.contact_ms)
	Contact time.Duration
	// Ack is the time within which a valid change by the operator is acknowledged; default 4000 ms, above 0.
	// (bnds.ack_ms)
	Ack time.Duration
	// Sync is how long after its return a machine still counts as lost; default 4 s. (bnds.sync_s)
	Sync time.Duration
	// Drain is the time after the start of a backend's drain from which on no request may be sent to it; default 3000
	// ms, above 0. (bnds.drain_ms)
	Drain time.Duration
	// Grace is the time from SIGTERM to SIGKILL; default 8 s, above 0. (bnds.grace_s)
	Grace time.Duration
	// LossSlack: a request sent at least this long before the close must be answered; default 200 ms.
	// (bnds.loss_slack_ms)
	LossSlack time.Duration
	// Apply is the time within which an acknowledged version is in force; default 2000 ms, above 0. (bnds.apply_ms)
	Apply time.Duration
	// Downgrade is the time after a newer version was seen in which no older one may be seen; default 250 ms.
	// (bnds.downgrade_ms)
	Downgrade time.Duration
	// Skew is added to Apply while the core is unstable; default 5000 ms. (bnds.skew_ms)
	Skew time.Duration
	// RetryRatio is the retry budget of a service, in extra arrivals at backends per request; default 0.2.
	// (bnds.retry_ratio)
	RetryRatio float64
	// RetryWindow is the window over which extra arrivals are counted; default 10 s, above 0. (bnds.retry_window_s)
	RetryWindow time.Duration
	// RetryExtra is the number of extra arrivals in a window that are allowed beyond the ratio; default 54.
	// (bnds.retry_extra)
	RetryExtra float64
	// Heal is the time after the return from the last fault from which on requests are served again; default 12 s.
	// (bnds.heal_s)
	Heal time.Duration
	// Transit is the time within which an event of a stream is forwarded; default 120 ms. (bnds.transit_ms)
	Transit time.Duration
	// Again is not explained by the operators' pages, and not used; default 0 s. (bnds.again_s)
	Again time.Duration
	// Fencing is set if backends check the fencing token of orders; default false, which is the safe assumption.
	// (bnds.fencing)
	Fencing bool
	// Lease is the least time between two holders of a singleton role; default 3000 ms. (bnds.lease_ms)
	Lease time.Duration
	// Unfreeze is the time after a frozen process resumes in which its orders aren't judged; default 300 ms.
	// (bnds.unfreeze_ms)
	Unfreeze time.Duration
	// Version is the time after which answers generated with older weights than those of other backends have no value;
	// default 0 ms: there is no such time. (bnds.version_ms)
	Version time.Duration
	// StrictRevoke is set if Revoke is enforced; default false. (bnds.strict_revoke)
	StrictRevoke bool
	// Revoke is the time after the acknowledgement of a configuration from which on no request with a revoked key runs
	// at any machine, connected or not; default 5000 ms, above 0. (bnds.revoke_ms)
	Revoke time.Duration
	// QuotaWindow is the window over which a tenant's requests are counted; default 5 s, above 0. (bnds.quota_win_s)
	QuotaWindow time.Duration
	// QuotaExcess is the fraction of its quota by which a tenant's requests in a window may exceed it; default 0.1.
	// (bnds.quota_excess)
	QuotaExcess float64
	// QuotaExtra is the number of a tenant's requests in a window that are allowed beyond QuotaExcess; default 20.
	// (bnds.quota_extra)
	QuotaExtra float64
}

// Provider is the platform's list of backends.
type Provider struct {
	// Address is the platform's IP:port; empty: there is none. (provider.address)
	Address string
	// Rate is the platform's rate limit for all machines together, in calls per second; default 1.
	// (provider.rate_s)
	Rate float64
	// Jobs is not used. (provider.jobs)
	Jobs []string
	// Delay is the delay of the list; default 1000 ms. (provider.delay_ms)
	Delay time.Duration
}
