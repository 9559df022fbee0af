package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"unicode"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/routingconfig"
)

// maxFileBytes bounds a file that is read, in bytes; the control server takes bodies of 16 MiB.
const maxFileBytes = 64 << 20

// readFile reads a file of the operator's; an error ends with exitUsage.
func readFile(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, exitError{err, exitUsage}
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, exitError{err, exitUsage}
	}
	if len(b) > maxFileBytes {
		return nil, exitError{errors.Errorf("%s: over %d bytes", name, maxFileBytes), exitUsage}
	}
	return b, nil
}

// sanitize replaces what a terminal may take for a control sequence; line ends stay.
func sanitize(s string) string {
	return strings.Map(func(r rune) rune {
		if r == '\n' || unicode.IsPrint(r) {
			return r
		}
		return unicode.ReplacementChar
	}, s)
}

// quoteName is a name as tables show it: quoted where it is empty, or has spaces, quotes or unprintable characters.
func quoteName(s string) string {
	needsQuotes := func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) || r == '"' }
	if s == "" || strings.ContainsFunc(s, needsQuotes) {
		return strconv.Quote(s)
	}
	return s
}

// finding is one thing wrong with a file, as --json prints it.
type finding struct {
	Place string `json:"place"`
	Text  string `json:"text"`
}

// fileFindings turns a configuration's findings into those of a file: a position in bytes becomes one by line and
// column.
func fileFindings(in routingconfig.Findings, body []byte) []finding {
	out := make([]finding, 0, len(in))
	for _, f := range in {
		place := f.Path
		if at, ok := strings.CutPrefix(place, "byte "); ok && body != nil {
			if n, err := strconv.Atoi(at); err == nil {
				before := string(body[:min(max(n-1, 0), len(body))])
				place = fmt.Sprintf("line %d, column %d", strings.Count(before, "\n")+1,
					len(before)-strings.LastIndexByte(before, '\n'))
			}
		}
		out = append(out, finding{place, f.Message})
	}
	return out
}

// writeFindings writes findings, one a line: "file: place: what is wrong".
func writeFindings(w io.Writer, file string, all []finding) {
	for _, f := range all {
		at := file
		if f.Place != "" {
			at += ": " + f.Place
		}
		fmt.Fprintln(w, sanitize(at+": "+f.Text))
	}
}

// writeJSON writes one value, indented.
func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// plural is a number with its noun.
func plural(n int, noun string) string {
	if n != 1 {
		noun += "s"
	}
	return strconv.Itoa(n) + " " + noun
}
