package routingconfig

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/go-faster/errors"
)

// maxDepth is how deep objects and lists may lie in each other; the protocol's bodies need six.
const maxDepth = 64

// smallObject is the number of keys up to which they are compared one by one.
const smallObject = 16

// checkText tells whether body is exactly one JSON value in UTF-8 without a key given twice in any object. Only when there
// are no findings may the functions below read it.
func checkText(body []byte, found *Findings) {
	if !json.Valid(body) {
		var any json.RawMessage
		err := json.Unmarshal(body, &any)
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
	w := duplicateKeyFinder{body: body, found: found}
	w.value(skipSpace(body, 0))
}

// duplicateKeyFinder looks for keys given twice in valid JSON.
type duplicateKeyFinder struct {
	body    []byte
	found   *Findings
	path    []pathElement
	tooDeep bool
}

// pathElement is a key or, where key is nil, an index on the way to a value.
type pathElement struct {
	key   []byte
	index int
}

// pathString tells the way to the value at hand.
func (w *duplicateKeyFinder) pathString() string {
	var b strings.Builder
	for _, s := range w.path {
		if s.key == nil {
			b.WriteString("[" + strconv.Itoa(s.index) + "]")
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.Write(s.key)
	}
	return b.String()
}

// value walks through the value that begins at i and gives the place after it.
func (w *duplicateKeyFinder) value(i int) int {
	open := w.body[i]
	if open != '{' && open != '[' {
		return skipValue(w.body, i)
	}
	if len(w.path) >= maxDepth {
		if !w.tooDeep {
			w.tooDeep = true
			w.found.add("", "more than %d levels deep", maxDepth)
		}
		return skipValue(w.body, i)
	}
	w.path = append(w.path, pathElement{})
	top := len(w.path) - 1
	defer func() { w.path = w.path[:top] }()
	i = skipSpace(w.body, i+1)
	if open == '[' {
		for n := 0; w.body[i] != ']'; n++ {
			w.path[top] = pathElement{index: n}
			i = skipSpace(w.body, w.value(i))
			if w.body[i] == ',' {
				i = skipSpace(w.body, i+1)
			}
		}
		return i + 1
	}
	var (
		few  [smallObject][]byte
		keys = few[:0]
		many map[string]bool
	)
	for w.body[i] != '}' {
		end := skipValue(w.body, i)
		key := unquote(w.body[i:end])
		w.path[top] = pathElement{key: key}
		twice := false
		if many != nil {
			twice = many[string(key)]
			many[string(key)] = true
		} else {
			for _, k := range keys {
				twice = twice || bytes.Equal(k, key)
			}
			if keys = append(keys, key); len(keys) == smallObject {
				many = make(map[string]bool, 4*smallObject)
				for _, k := range keys {
					many[string(k)] = true
				}
			}
		}
		if twice {
			w.found.add(w.pathString(), "the key is given twice")
		}
		i = skipSpace(w.body, end)                             // the colon
		i = skipSpace(w.body, w.value(skipSpace(w.body, i+1))) // the value
		if w.body[i] == ',' {
			i = skipSpace(w.body, i+1)
		}
	}
	return i + 1
}

// skipSpace gives the first place from i on that isn't white space.
func skipSpace(b []byte, i int) int {
	for i < len(b) && (b[i] == ' ' || b[i] == '\n' || b[i] == '\t' || b[i] == '\r') {
		i++
	}
	return i
}

// skipValue gives the place after the value that begins at i of valid JSON.
func skipValue(b []byte, i int) int {
	switch b[i] {
	case '"':
		i++
		if end := i + bytes.IndexByte(b[i:], '"'); bytes.IndexByte(b[i:end], '\\') < 0 {
			return end + 1
		}
		for ; b[i] != '"'; i++ {
			if b[i] == '\\' {
				i++
			}
		}
		return i + 1
	case '{', '[':
		for depth := 0; ; i++ {
			switch b[i] {
			case '"':
				i = skipValue(b, i) - 1
			case '{', '[':
				depth++
			case '}', ']':
				if depth--; depth == 0 {
					return i + 1
				}
			}
		}
	}
	for ; i < len(b); i++ {
		switch b[i] {
		case ' ', '\n', '\t', '\r', ',', ']', '}':
			return i
		}
	}
	return i
}

// unquote gives the text of a JSON string. Without escapes it is a slice of raw.
func unquote(raw []byte) []byte {
	inner := raw[1 : len(raw)-1]
	if bytes.IndexByte(inner, '\\') < 0 {
		return inner
	}
	var s string
	_ = json.Unmarshal(raw, &s) // raw is a valid JSON string
	return []byte(s)
}

// eachField calls do with each key and value of a valid JSON object, in order. The slices are parts of raw.
func eachField(raw []byte, do func(key []byte, value json.RawMessage)) {
	i := skipSpace(raw, skipSpace(raw, 0)+1)
	for raw[i] != '}' {
		end := skipValue(raw, i)
		key := unquote(raw[i:end])
		start := skipSpace(raw, skipSpace(raw, end)+1)
		end = skipValue(raw, start)
		do(key, raw[start:end:end])
		if i = skipSpace(raw, end); raw[i] == ',' {
			i = skipSpace(raw, i+1)
		}
	}
}

// eachItem calls do with each item of a valid JSON list, in order. The slices are parts of raw.
func eachItem(raw []byte, do func(index int, value json.RawMessage)) {
	i := skipSpace(raw, skipSpace(raw, 0)+1)
	for n := 0; raw[i] != ']'; n++ {
		end := skipValue(raw, i)
		do(n, raw[i:end:end])
		if i = skipSpace(raw, end); raw[i] == ',' {
			i = skipSpace(raw, i+1)
		}
	}
}
