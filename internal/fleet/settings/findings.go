package settings

import "strings"

// Finding is one error in a settings file.
type Finding struct {
	// File is the file's name as given to Parse or Check.
	File string
	// Key is the TOML key, such as "bnds.ack_ms", or "line 3, column 7" if the file isn't valid TOML.
	Key string
	// Text describes the error.
	Text string
}

// String returns "file: key: text".
func (f Finding) String() string { return f.File + ": " + f.Key + ": " + f.Text }

// Findings is an error with all findings of a file.
type Findings []Finding

// Error returns the findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}
