// Package settings reads and checks the settings file of a process (DEPLOY.md, "Settings of a process"): TOML, its path in
// the variable MOLEPADDLE_CONFIG. Fields it doesn't know are ignored. All findings are collected with their place (file
// and key) and reported together.
package settings

import "time"

// EnvFile is the variable that gives the path of the settings file.
const EnvFile = "MOLEPADDLE_CONFIG"

// Settings are the settings of one process. TOML keys stand after each field.
type Settings struct {
	// Nodename is the machine's name; required. (nodename)
	NodeName string
	// Role is the role's name in the deploy file. (role)
	Role string
	// Tier is the class of machines, "edge" or "core". (tier)
	Tier string
	// Roles are what the process serves: "edge", "ctl". (roles)
	Roles []string
	// IP is the machine's IPv4 address; required. (ip)
	IP string
	// Zone and Region are where the machine is. (az, rgn)
	Zone, Region string
	// Ports are the first and the last port that agents use among themselves; required, 1 to 65535, the first not above
	// the last. (port_range)
	Ports [2]int
	// Seeds are the control addresses (IP:port) of a few machines; they may be down or gone. (peers)
	Seeds []string
	// Bootstrap is true only at the very first start of the whole system. (bootstrap)
	Bootstrap bool
	// Counted is true for machines that Survive.Nodes counts. (voting)
	Voting bool
	// DataDir is the folder on the machine's disk; empty where there is none. (datadir)
	DataDir string
	// Discovery and Ingress name how backends are listed and how clients come. (disco, ingress)
	Discovery, Ingress string
	// Heartbeat is as the deployment sets it; default 1 s. (heartbeat_ms)
	Heartbeat time.Duration
	// Clauses are the parts of the rules in force. (clauses)
	Clauses []string
	// Zones gives the region of each zone. (azs)
	Zones map[string]string
	// Bind holds the addresses to serve on. (bind)
	Bind Bind
	// Limits is what the process may use. (caps)
	Limits Limits
	// Survive is what the system may lose at once. (survive)
	Survive Survive
	// Bounds are the figures of the rules. (bnds)
	Bounds Bounds
	// Provider is the platform's list of backends. (provider)
	Provider Provider
}

// Bind holds the addresses (IP:port) the role serves on; empty where it doesn't serve. Port 0 leaves the choice to the
// kernel, for tests.
type Bind struct {
	Edge    string // clients (edge)
	Ready   string // the platform's readiness checks (readyz)
	Control string // backends and the operator (ctl)
}

// Limits is what the process may use. 0: not given.
type Limits struct {
	CPUFraction float64 // share of one core (cpu_frac)
	CPUs        float64 // how many times as fast that share runs (ncpu)
	MemoryMB    float64 // the process is killed above (ram_mb)
	Files       int     // descriptors, of which 200 stay kept for files outside the data folder (nofile)
	LinkMbps    float64 // Mbit/s of the machine's link (bw_mbps)
	DiskMB      float64 // (disk_mb)
}

// Survive is what the system may lose at once while it keeps all rules.
type Survive struct {
	Nodes   int // machines for which voting is true (nodes)
	Zones   int // (azs)
	Regions int // (rgns)
}

// Bounds are the figures of the rules (RULES.md). A missing one gets the default named here, which is the one of
// DEPLOY.md's example.
type Bounds struct {
	PeerLag     time.Duration // how far the operator's list of agents is behind; default 3 s (peer_lag_s)
	AddrReuse   time.Duration // an ended backend's address may serve another service after; default 2 s (addr_reuse_s)
	Contact     time.Duration // untroubled time after which a machine is in touch; default 3 s (contact_ms)
	Ack         time.Duration // a proper order of the operator is acknowledged within; default 4 s (ack_ms)
	Sync        time.Duration // a machine stays lost for this long after its return; default 4 s (sync_s)
	Drain       time.Duration // no request to a leaving backend after; default 3 s (drain_ms)
	Grace       time.Duration // from SIGTERM to SIGKILL; default 8 s (grace_s)
	LossSlack   time.Duration // a request sent this long before the close must be answered; default 200 ms (loss_slack_ms)
	Apply       time.Duration // an acknowledged version is in force within; default 2 s (apply_ms)
	Downgrade   time.Duration // no older version after a newer one was seen for; default 250 ms (downgrade_ms)
	Skew        time.Duration // an unstable core stretches Apply by; default 5 s (skew_ms)
	RetryRatio  float64       // extra arrivals per request of a service; default 0.2 (retry_ratio)
	RetryWindow time.Duration // the window over which extra arrivals count; default 10 s (retry_window_s)
	RetryExtra  float64       // extra arrivals allowed besides, in a window; default 54 (retry_extra)
	Heal        time.Duration // requests are served again this long after the return from a final fault; default 12 s (heal_s)
	Transit     time.Duration // an event of a stream is passed on within; default 120 ms (transit_ms)
	Again       time.Duration // not explained by the operators' pages; default 0 (again_s)
	Fencing     bool          // backends check the fence of orders; default false, the careful reading (fencing)
	Lease       time.Duration // holders of a duty don't take turns within; default 3 s (lease_ms)
	Unfreeze    time.Duration // orders aren't judged this long after a thaw; default 300 ms (unfreeze_ms)
}

// Provider is the platform's list of backends.
type Provider struct {
	Address string        // IP:port; empty: there is none (address)
	Rate    float64       // calls a second from all agents together; default 1 (rate_s)
	Jobs    []string      // (jobs)
	Delay   time.Duration // the list is behind by; default 1 s (delay_ms)
}
