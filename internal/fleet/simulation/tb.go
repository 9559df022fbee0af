package simulation

// TB is what the stand-ins need of whoever starts them: testing.TB implements it, and so does `molepaddle-fleet demo`.
type TB interface {
	// Helper marks the caller as one whose lines are left out of failures.
	Helper()
	// Cleanup has f called at the end; the last one added is called first.
	Cleanup(f func())
	// TempDir returns a new folder, which is removed at the end.
	TempDir() string
	// Failed reports whether there was a failure.
	Failed() bool
	// Logf writes a line to the log.
	Logf(format string, args ...any)
	// Fatalf logs a failure and doesn't return.
	Fatalf(format string, args ...any)
}
