// Package strict reads TOML 1.0 files strictly: a key that is not known, a value of another
// type, or one that a file's own rules refuse is an error of one line that names the file, the
// line and the key. Values only.
package strict

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// MaxFile bounds a file, in bytes.
const MaxFile = 1 << 20

// Duration is a time with its unit, such as "250ms".
type Duration time.Duration

// UnmarshalText reads a number with a unit that time.ParseDuration knows.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time with a unit, such as \"250ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes what UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Ms is the time in milliseconds.
func (d Duration) Ms() float64 { return float64(d) / float64(time.Millisecond) }

// Read reads the file at path, at most MaxFile bytes of it.
func Read(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, MaxFile+1))
	if err != nil {
		return nil, err
	}
	if len(text) > MaxFile {
		return nil, fmt.Errorf("%s: longer than %d bytes", filepath.Base(path), MaxFile)
	}
	return text, nil
}

// Decode reads a text into a value and has it validated; validate reports the first key that
// makes no sense. name is the file's, for errors.
func Decode(name string, text []byte, into any, validate func() (key string, err error)) error {
	dec := toml.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
			row, _ := unknown.Errors[0].Position()
			return fmt.Errorf("%s:%d: %s: not known", name, row, strings.Join(unknown.Errors[0].Key(), "."))
		}
		var bad *toml.DecodeError
		if errors.As(err, &bad) {
			row, _ := bad.Position()
			key := keyAt(text, row)
			if key != "" {
				key += ": "
			}
			said := oneLine(strings.TrimPrefix(bad.Error(), "toml: "))
			if before, _, ok := strings.Cut(said, " into struct field "); ok {
				said = before // the rest names the program's own types
			}
			return fmt.Errorf("%s:%d: %s%s", name, row, key, said)
		}
		return fmt.Errorf("%s: %s", name, oneLine(err.Error()))
	}
	if key, err := validate(); err != nil {
		return fmt.Errorf("%s:%d: %s: %w", name, lineOf(text, key), key, err)
	}
	return nil
}

func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

// walk tells of each key of a text its path, entries of arrays counted in brackets, and
// its line.
func walk(text []byte, each func(path string, line int)) {
	p := unstable.Parser{}
	p.Reset(text)
	table, count := "", map[string]int{}
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for it := e.Key(); it.Next(); {
			n := it.Node()
			if line == 0 {
				line = p.Shape(n.Raw).Start.Line
			}
			parts = append(parts, string(n.Data))
		}
		path := strings.Join(parts, ".")
		switch e.Kind {
		case unstable.Table:
			table = path
		case unstable.ArrayTable:
			table = path + "[" + strconv.Itoa(count[path]) + "]"
			count[path]++
			path = table
		case unstable.KeyValue:
			if table != "" {
				path = table + "." + path
			}
		}
		each(path, line)
	}
}

// lineOf finds the line on which a key stands; of one that is not there, the line of the
// nearest table round it.
func lineOf(text []byte, key string) int {
	best, at := 0, 1
	walk(text, func(path string, line int) {
		if (key == path || strings.HasPrefix(key, path+".") || strings.HasPrefix(key, path+"[")) && len(path) > best {
			best, at = len(path), line
		}
	})
	return at
}

// keyAt is the key that stands on a line; empty: none.
func keyAt(text []byte, row int) (key string) {
	walk(text, func(path string, line int) {
		if line == row {
			key = path
		}
	})
	return key
}
