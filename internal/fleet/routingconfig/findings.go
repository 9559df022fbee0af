package routingconfig

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
)

// MaxFindings is the greatest number of findings that are reported for one body; a further finding states that there
// are more.
const MaxFindings = 50

// Finding is one error in a configuration.
type Finding struct {
	// Path is the path to the value in the body, such as "routing[3].deadline_ms"; an offset, such as "byte 120", if
	// the body can't be parsed; empty for the body itself.
	Path string
	// Message describes the error to the operator.
	Message string
}

// String returns the path and the message.
func (f Finding) String() string {
	if f.Path == "" {
		return f.Message
	}
	return f.Path + ": " + f.Message
}

// Findings are the errors in a configuration, in the order found. A configuration without findings is valid.
type Findings []Finding

// Err returns nil if there are no findings, else one error with all of them, one per line.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return errors.New(f.String())
}

// String returns the findings, one per line.
func (f Findings) String() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// add adds a finding; beyond MaxFindings only one that states that there are more.
func (f *Findings) add(path, format string, args ...any) {
	switch {
	case len(*f) < MaxFindings:
		*f = append(*f, Finding{Path: path, Message: fmt.Sprintf(format, args...)})
	case len(*f) == MaxFindings:
		*f = append(*f, Finding{Message: "more findings are not listed"})
	}
}
