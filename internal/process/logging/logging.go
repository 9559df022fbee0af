// Package logging makes the program's structured log: log/slog with one set of keys, at a level
// and in a form that the operator's file sets. Values only; a Logger may be used by any number of
// goroutines.
//
// The keys are agent (its name, in each record), listen and backends (at the start), err, from and
// to (of what changes), days (that a certificate lasts), record (of an account), zones (that come
// last), and of a fault of the program itself input, panic and stack. A key that is new belongs into this list and into
// docs/operators/commands.md.
package logging

import (
	"fmt"
	"io"
	"log/slog"
)

// Options are what the operator's file says of the log.
type Options struct {
	Level  string `toml:"level"`  // debug, info, warn or error
	Format string `toml:"format"` // text or json
	// Account has a line for each request that earned less than it could; 'molepaddle lab loss' reads them.
	Account bool `toml:"account"`
}

// Default is what a file need not say.
func Default() Options { return Options{Level: "info", Format: "text"} }

// Validate reports the first key that makes no sense.
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

// New makes a logger; the options are valid.
func New(w io.Writer, o Options) *slog.Logger {
	var l slog.Level
	_ = l.UnmarshalText([]byte(o.Level)) // validated
	opts := &slog.HandlerOptions{Level: l}
	if o.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, opts))
	}
	return slog.New(slog.NewTextHandler(w, opts))
}
