// Package outlier finds backends that serve worse than their peers from what all proxies see of them together: in a
// large fleet each proxy sends too little to a given backend to tell.
//
// A Recorder counts at each proxy how its attempts end. A Detector, at the primary control server, where all the
// counts meet, ejects a backend once enough proxies had bad ends there, far more often than at its peers, and
// restores it once trial requests succeed. Trials, at each proxy, says which request is such a trial.
//
// All three are state machines without I/O, clock or goroutine: the caller passes the time, in ms on a clock that
// doesn't go back, and carries reports and ejections between them (package distribution). None is safe for concurrent
// use. How one proxy's own failures demote a backend is package ranking's business, not this one's.
package outlier
