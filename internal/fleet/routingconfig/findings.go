package routingconfig

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
)

// MaxFindings is the most findings that are reported for one body; a last one then tells that there are more.
const MaxFindings = 50

// Finding is one thing wrong with a configuration.
type Finding struct {
	// Place is where, as a path of the body: "routing[3].deadline_ms"; "byte 120" where it can't be read; empty for
	// the body as a whole.
	Path string
	// Text is what is wrong, for the operator to read.
	Message string
}

func (f Finding) String() string {
	if f.Path == "" {
		return f.Message
	}
	return f.Path + ": " + f.Message
}

// Findings are all that is wrong, in the order found. None means valid.
type Findings []Finding

// Err is nil when there are no findings, else one error that tells them all.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return errors.New(f.String())
}

// String is the findings, one a line.
func (f Findings) String() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// add notes a finding; beyond MaxFindings it only notes that there are more.
func (f *Findings) add(path, format string, args ...any) {
	switch {
	case len(*f) < MaxFindings:
		*f = append(*f, Finding{Path: path, Message: fmt.Sprintf(format, args...)})
	case len(*f) == MaxFindings:
		*f = append(*f, Finding{Message: "more findings are not listed"})
	}
}
