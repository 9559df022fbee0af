package routingconfig

import (
	"bytes"
	"encoding/json"
)

// The functions below read JSON that checkText has validated. They return slices of it instead of copies, because a
// document has thousands of items and an update changes only a few.

// skipSpace returns the first offset from i on that isn't white space.
func skipSpace(b []byte, i int) int {
	for i < len(b) && (b[i] == ' ' || b[i] == '\n' || b[i] == '\t' || b[i] == '\r') {
		i++
	}
	return i
}

// skipValue returns the offset after the value that begins at offset i of valid JSON.
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

// unquote returns the text of a JSON string. Without escapes it is a slice of raw, so that most keys aren't copied.
func unquote(raw []byte) []byte {
	inner := raw[1 : len(raw)-1]
	if bytes.IndexByte(inner, '\\') < 0 {
		return inner
	}
	var s string
	_ = json.Unmarshal(raw, &s) // raw is a valid JSON string
	return []byte(s)
}

// eachField calls do with each key and value of a valid JSON object, in order. The slices share memory with raw.
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

// eachItem calls do with each item of a valid JSON list, in order. The slices share memory with raw.
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
