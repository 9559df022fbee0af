package simulation

// TB is the interface through which the fake servers use their test: testing.TB implements it, and so does
// `molepaddle-fleet demo`.
type TB interface {
	// Helper marks the caller as a helper, whose lines are not reported in failures.
	Helper()
	// Cleanup registers f to be called at the end, in reverse order of registration.
	Cleanup(f func())
	// TempDir returns a new folder, which is removed at the end.
	TempDir() string
	// Failed reports whether there was a failure.
	Failed() bool
	// Logf writes a line to the log.
	Logf(format string, args ...any)
	// Fatalf logs a failure and ends the test; it doesn't return.
	Fatalf(format string, args ...any)
}
