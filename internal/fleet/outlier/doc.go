// Package outlier detects backends that serve worse than their peers, from the combined observations of all proxies: in
// a large fleet a single proxy sends too few requests to a given backend to detect it.
//
// A Recorder counts the results of a proxy's attempts. A Detector at the primary control server, which receives the
// counts of all proxies, ejects a backend once enough proxies had bad results there, far more often than at its peers,
// and restores it once trial requests succeed. Trials, at each proxy, selects the requests that are such trials.
//
// All three are state machines without I/O, clock or goroutine: the caller passes the time, in ms of a monotonic clock,
// and carries reports and ejections between them (package distribution). None is safe for concurrent use. Demoting a
// backend after a proxy's own failures is done by package ranking, not here.
package outlier
