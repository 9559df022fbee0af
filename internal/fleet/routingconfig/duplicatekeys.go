package routingconfig

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/go-faster/errors"
)

const (
	// maxDepth is how deep objects and lists may be nested; the protocol's bodies need six.
	maxDepth = 64
	// smallObject is the number of keys up to which they are compared one by one, without a map.
	smallObject = 16
)

// checkText adds findings unless body is exactly one JSON value in UTF-8 without duplicate keys in any object. The
// functions of rawjson.go may only be called on a body without findings.
func checkText(body []byte, found *Findings) {
	if !json.Valid(body) {
		var value json.RawMessage
		err := json.Unmarshal(body, &value)
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			found.add("byte "+strconv.FormatInt(syntax.Offset, 10), "not JSON: %s", syntax.Error())
			return
		}
		found.add("", "not JSON")
		return
	}
	if !utf8.Valid(body) {
		found.add("", "not UTF-8")
		return
	}
	f := duplicateKeyFinder{body: body, found: found}
	f.value(skipSpace(body, 0))
}

// duplicateKeyFinder finds duplicate keys in the objects of valid JSON. encoding/json uses the last one, other parsers
// the first, so that the operator and the fleet could interpret one document in two ways.
type duplicateKeyFinder struct {
	body    []byte
	found   *Findings
	path    []pathElement
	tooDeep bool
}

// pathElement is a key or, where key is nil, an index on the path to a value.
type pathElement struct {
	key   []byte
	index int
}

// pathString returns the path to the current value. Within an account's apikeys field, names of fields may be
// API keys: they are hashed.
func (f *duplicateKeyFinder) pathString() string {
	var b strings.Builder
	for i, e := range f.path {
		if e.key == nil {
			b.WriteString("[" + strconv.Itoa(e.index) + "]")
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		if inAPIKeys(f.path[:i]) {
			b.WriteString(HashKey(string(e.key)).String())
			continue
		}
		b.Write(e.key)
	}
	return b.String()
}

// value scans the value that begins at i and returns the offset after it.
func (f *duplicateKeyFinder) value(i int) int {
	open := f.body[i]
	if open != '{' && open != '[' {
		return skipValue(f.body, i)
	}
	if len(f.path) >= maxDepth {
		if !f.tooDeep {
			f.tooDeep = true
			f.found.add("", "more than %d levels deep", maxDepth)
		}
		return skipValue(f.body, i)
	}
	top := len(f.path)
	f.path = append(f.path, pathElement{})
	defer func() { f.path = f.path[:top] }()
	i = skipSpace(f.body, i+1)
	if open == '[' {
		return f.list(i)
	}
	return f.object(i)
}

// list scans a list whose first item or end is at i, and returns the offset after it.
func (f *duplicateKeyFinder) list(i int) int {
	top := len(f.path) - 1
	for n := 0; f.body[i] != ']'; n++ {
		f.path[top] = pathElement{index: n}
		i = f.next(f.value(i))
	}
	return i + 1
}

// object scans an object whose first key or end is at i, and returns the offset after it.
func (f *duplicateKeyFinder) object(i int) int {
	top := len(f.path) - 1
	var keys keySet
	for f.body[i] != '}' {
		end := skipValue(f.body, i)
		key := unquote(f.body[i:end])
		f.path[top] = pathElement{key: key}
		if !keys.add(key) {
			f.found.add(f.pathString(), "the key is given twice")
		}
		colon := skipSpace(f.body, end)
		i = f.next(f.value(skipSpace(f.body, colon+1)))
	}
	return i + 1
}

// next returns the offset of the next item, or of the end of the list or object, after a value that ends at i.
func (f *duplicateKeyFinder) next(i int) int {
	i = skipSpace(f.body, i)
	if f.body[i] == ',' {
		i = skipSpace(f.body, i+1)
	}
	return i
}

// keySet is the set of keys of one object. Most objects have few keys, for which no map is allocated.
type keySet struct {
	few  [smallObject][]byte
	n    int
	many map[string]bool // nil while the keys are in few
}

// add adds a key. It returns false if the set already contains it.
func (s *keySet) add(key []byte) bool {
	if s.many != nil {
		twice := s.many[string(key)]
		s.many[string(key)] = true
		return !twice
	}
	twice := false
	for _, k := range s.few[:s.n] {
		twice = twice || bytes.Equal(k, key)
	}
	s.few[s.n] = key
	s.n++
	if s.n == smallObject {
		s.many = make(map[string]bool, 4*smallObject)
		for _, k := range s.few {
			s.many[string(k)] = true
		}
	}
	return !twice
}
