// Package strict decodes TOML 1.0 files strictly: an unknown key, a value of the wrong type, or a value that the
// caller's validation rejects gives an error of one line with the file, the line and the key. Its functions have no
// state and may be called from any goroutine.
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

// MaxFile limits a file, in bytes.
const MaxFile = 1 << 20

// Duration is a duration written with its unit, such as "250ms".
type Duration time.Duration

// UnmarshalText parses a duration in the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration with a unit, such as \"250ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the format that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Ms returns the duration in milliseconds.
func (d Duration) Ms() float64 { return float64(d) / float64(time.Millisecond) }

// Read returns the contents of the file at path; a file longer than MaxFile is an error.
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

// Decode decodes a text into a value and validates it; validate returns the first invalid key with its error. name is
// the file's name, for errors.
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
			message := oneLine(strings.TrimPrefix(bad.Error(), "toml: "))
			if before, _, ok := strings.Cut(message, " into struct field "); ok {
				message = before // the remainder names Go types
			}
			return fmt.Errorf("%s:%d: %s%s", name, row, key, message)
		}
		return fmt.Errorf("%s: %s", name, oneLine(err.Error()))
	}
	if key, err := validate(); err != nil {
		return fmt.Errorf("%s:%d: %s: %w", name, lineOf(text, key), key, err)
	}
	return nil
}

func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

// walkKeys calls each for every key of a text, with its path (elements of arrays of tables have an index in brackets)
// and its line.
func walkKeys(text []byte, each func(path string, line int)) {
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

// lineOf returns the line of a key, or that of the innermost enclosing table if the key is absent.
func lineOf(text []byte, key string) int {
	best, at := 0, 1
	walkKeys(text, func(path string, line int) {
		if (key == path || strings.HasPrefix(key, path+".") || strings.HasPrefix(key, path+"[")) && len(path) > best {
			best, at = len(path), line
		}
	})
	return at
}

// keyAt returns the key on a line, or the empty string.
func keyAt(text []byte, row int) (key string) {
	walkKeys(text, func(path string, line int) {
		if line == row {
			key = path
		}
	})
	return key
}
