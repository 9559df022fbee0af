package routingconfig

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
)

// MaxFindings is the most findings that are reported for one body; one more then says that there are others.
const MaxFindings = 50

// Finding is one thing wrong with a configuration.
type Finding struct {
	// Path is where, as a path of the body: "routing[3].deadline_ms"; "byte 120" where it can't be read; empty for the
	// body itself.
	Path string
	// Message is what is wrong, for the operator to read.
	Message string
}

// String returns the path and the message.
func (f Finding) String() string {
	if f.Path == "" {
		return f.Message
	}
	return f.Path + ": " + f.Message
}

// Findings are all that is wrong, in the order found. None means valid.
type Findings []Finding

// Err returns nil when there are no findings, else one error with all of them, one a line.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return errors.New(f.String())
}

// String returns the findings, one a line.
func (f Findings) String() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// add adds a finding; beyond MaxFindings only one that says that there are more.
func (f *Findings) add(path, format string, args ...any) {
	switch {
	case len(*f) < MaxFindings:
		*f = append(*f, Finding{Path: path, Message: fmt.Sprintf(format, args...)})
	case len(*f) == MaxFindings:
		*f = append(*f, Finding{Message: "more findings are not listed"})
	}
}
