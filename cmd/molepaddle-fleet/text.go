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

// maxFile bounds a file that is read, in bytes; the control server takes bodies of 16 MiB.
const maxFile = 64 << 20

// readFile reads a file of the operator's; an error ends with exitUsage.
func readFile(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, coded{err, exitUsage}
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, maxFile+1))
	if err != nil {
		return nil, coded{err, exitUsage}
	}
	if len(b) > maxFile {
		return nil, coded{errors.Errorf("%s: over %d bytes", name, maxFile), exitUsage}
	}
	return b, nil
}

// lines takes out of a text what a terminal may take for an order; line ends stay.
func lines(s string) string {
	return strings.Map(func(r rune) rune {
		if r == '\n' || unicode.IsPrint(r) {
			return r
		}
		return unicode.ReplacementChar
	}, s)
}

// word is a name as it stands in a table: quoted where it has spaces or signs that can't be seen.
func word(s string) string {
	if s == "" || strings.ContainsFunc(s, func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) || r == '"' }) {
		return strconv.Quote(s)
	}
	return s
}

// finding is one thing wrong, as JSON has it.
type finding struct {
	Place string `json:"place"`
	Text  string `json:"text"`
}

// found turns a configuration's findings into those of a file: a place by bytes becomes one by line and column.
func found(in routingconfig.Findings, body []byte) []finding {
	out := make([]finding, 0, len(in))
	for _, f := range in {
		place := f.Path
		if at, ok := strings.CutPrefix(place, "byte "); ok && body != nil {
			if n, err := strconv.Atoi(at); err == nil {
				before := string(body[:min(max(n-1, 0), len(body))])
				place = fmt.Sprintf("line %d, column %d", strings.Count(before, "\n")+1, len(before)-strings.LastIndexByte(before, '\n'))
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
		fmt.Fprintln(w, lines(at+": "+f.Text))
	}
}

// writeJSON writes one value, indented.
func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// many is a number with its noun.
func many(n int, noun string) string {
	if n != 1 {
		noun += "s"
	}
	return strconv.Itoa(n) + " " + noun
}
