// Package logging creates the program's structured logger: log/slog with a fixed set of keys, at a level and in a
// format set by the operator's file. It has no state; a Logger may be used by any goroutine.
//
// The keys are agent (its name, in each record), listen and backends (at the start), err, from and to (of changes),
// days (that a certificate lasts), record (of an account), zones (that come last), and, for a fault of the program
// itself, input, panic and stack. A new key has to be added to this list and to docs/operators/commands.md.
package logging

import (
	"fmt"
	"io"
	"log/slog"
)

// Options are the log settings of the operator's file.
type Options struct {
	Level  string `toml:"level"`  // debug, info, warn or error
	Format string `toml:"format"` // text or json
	// Account enables a line for each request that earned less than it could; 'molepaddle lab loss' reads them.
	Account bool `toml:"account"`
}

// Default returns the settings of a file that leaves them out.
func Default() Options { return Options{Level: "info", Format: "text"} }

// Validate returns the first invalid key and its error.
func (o Options) Validate() (key string, err error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(o.Level)); err != nil {
		return "level", fmt.Errorf("must be debug, info, warn or error, is %q", o.Level)
	}
	if o.Format != "text" && o.Format != "json" {
		return "format", fmt.Errorf("must be text or json, is %q", o.Format)
	}
	return "", nil
}

// New returns a logger. The options must be valid.
func New(w io.Writer, o Options) *slog.Logger {
	var l slog.Level
	_ = l.UnmarshalText([]byte(o.Level)) // validated
	opts := &slog.HandlerOptions{Level: l}
	if o.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, opts))
	}
	return slog.New(slog.NewTextHandler(w, opts))
}
