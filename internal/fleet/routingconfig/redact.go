package routingconfig

import (
	"bytes"
	"encoding/json"
	"slices"
)

// ShowRedacted returns the configuration like Show, for people and logs, with each API key replaced by its
// KeyHash.String. An unknown field of an account may contain keys too, so all strings in it are replaced.
func (d *Document) ShowRedacted() []byte {
	if d == nil || d.accounts == nil {
		return d.Show()
	}
	shown := *d
	shown.accounts = make([]*accountItem, len(d.accounts))
	for i, a := range d.accounts {
		shown.accounts[i] = &accountItem{Account: a.Account, raw: redactAccount(a.raw)}
	}
	return shown.Show()
}

// redactAccount returns the JSON of an account with the strings replaced by their hashes, except in the known fields
// without keys.
func redactAccount(raw json.RawMessage) json.RawMessage {
	b := []byte{'{'}
	eachField(raw, func(k []byte, v json.RawMessage) {
		b = appendKey(b, string(k))
		switch string(k) {
		case "name", "prio", "rate_s", "burst":
			b = append(b, v...)
		default:
			b = appendRedacted(b, v)
		}
	})
	return append(b, '}')
}

// appendRedacted appends a JSON value with all strings, including names of fields, replaced by their hashes.
func appendRedacted(b []byte, raw json.RawMessage) []byte {
	switch raw[0] {
	case '"':
		return appendText(b, HashKey(string(unquote(raw))).String())
	case '[':
		b = append(b, '[')
		eachItem(raw, func(i int, v json.RawMessage) {
			if i > 0 {
				b = append(b, ',')
			}
			b = appendRedacted(b, v)
		})
		return append(b, ']')
	case '{':
		b = append(b, '{')
		eachField(raw, func(k []byte, v json.RawMessage) {
			b = appendKey(b, HashKey(string(k)).String())
			b = appendRedacted(b, v)
		})
		return append(b, '}')
	}
	return append(b, raw...)
}

// appendKey appends a comma if needed, the name of a field of an object, and the colon.
func appendKey(b []byte, key string) []byte {
	if b[len(b)-1] != '{' {
		b = append(b, ',')
	}
	return append(appendText(b, key), ':')
}

// appendText appends a string as JSON.
func appendText(b []byte, s string) []byte {
	quoted, _ := json.Marshal(s) // strings always marshal
	return append(b, quoted...)
}

// NumAPIKeys returns the number of API keys of each account, in the order of Accounts.
func (d *Document) NumAPIKeys() []int {
	if d == nil || d.accounts == nil {
		return nil
	}
	counts := make([]int, len(d.accounts))
	for i, a := range d.accounts {
		counts[i] = len(a.keyHashes)
	}
	return counts
}

// inAPIKeys reports whether a path leads into an account's API keys, which findings must not contain.
func inAPIKeys(path []pathElement) bool {
	return slices.ContainsFunc(path, func(e pathElement) bool { return bytes.Equal(e.key, []byte("apikeys")) })
}
