// Package outlier finds backends that serve worse than their peers from what all proxies see of them together: in a large fleet
// each proxy meets a given backend too seldom to tell. A Recorder counts at each proxy how its attempts end; a Detector, where
// all the counts meet, ejects a backend once enough proxies had bad ends there, far more often than at its peers, and restores
// it once trial requests succeed. Both are state machines without I/O or clock.
package outlier
