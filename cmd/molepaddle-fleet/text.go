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

// maxFileBytes is the largest input file in bytes; control servers accept bodies of up to 16 MiB.
const maxFileBytes = 64 << 20

// readFile reads an input file. Its errors carry exitUsage.
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

// sanitize replaces unprintable characters, which a terminal could interpret as control sequences, except line feeds.
func sanitize(s string) string {
	return strings.Map(func(r rune) rune {
		if r == '\n' || unicode.IsPrint(r) {
			return r
		}
		return unicode.ReplacementChar
	}, s)
}

// quoteName returns a name for a table: quoted if it is empty or has spaces, quotes or unprintable characters.
func quoteName(s string) string {
	needsQuotes := func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) || r == '"' }
	if s == "" || strings.ContainsFunc(s, needsQuotes) {
		return strconv.Quote(s)
	}
	return s
}

// finding is one error in a file, as --json prints it.
type finding struct {
	Place string `json:"place"`
	Text  string `json:"text"`
}

// fileFindings converts a configuration's findings into findings of a file: byte positions become line and column.
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

// writeFindings writes findings, one per line, as "file: place: text".
func writeFindings(w io.Writer, file string, all []finding) {
	for _, f := range all {
		at := file
		if f.Place != "" {
			at += ": " + f.Place
		}
		fmt.Fprintln(w, sanitize(at+": "+f.Text))
	}
}

// writeJSON writes one value as indented JSON.
func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// plural returns a count with its noun, in the plural unless n is 1.
func plural(n int, noun string) string {
	if n != 1 {
		noun += "s"
	}
	return strconv.Itoa(n) + " " + noun
}
