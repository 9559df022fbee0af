package settings

import "strings"

// Finding is one thing wrong with a settings file.
type Finding struct {
	// File is the file's name as it was given.
	File string
	// Key is the TOML key, "bnds.ack_ms", or "line 3, column 7" where the file can't be read as TOML.
	Key string
	// Text is what is wrong.
	Text string
}

// String is "file: key: what is wrong".
func (f Finding) String() string { return f.File + ": " + f.Key + ": " + f.Text }

// Findings are all findings of a file, as one error.
type Findings []Finding

// Error is the findings, one a line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}
