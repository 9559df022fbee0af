package simulation

// TB is what the stand-ins need of whoever starts them: testing.TB has it, and `molepaddle-fleet demo` brings its own.
type TB interface {
	Helper()
	// Cleanup has f called at the end; the last one given is called first.
	Cleanup(f func())
	// TempDir is a new folder that is gone after the end.
	TempDir() string
	Failed() bool
	Logf(format string, args ...any)
	// Fatalf does not come back.
	Fatalf(format string, args ...any)
}
