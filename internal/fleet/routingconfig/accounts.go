package routingconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

const (
	// keyHashBytesShown is the number of bytes of a key's hash that are shown instead of the key.
	keyHashBytesShown = 4
	// usualKeyBytes is the length up to which a key is hashed without an allocation.
	usualKeyBytes = 128
)

// KeyHash is the SHA-256 hash of an API key. Keys are compared and looked up by their hashes, so that neither the
// duration of a lookup nor a redacted configuration reveals anything about a key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash {
	var buffer [usualKeyBytes]byte
	return sha256.Sum256(append(buffer[:0], key...))
}

// String returns the beginning of the hash, which is enough for people to distinguish keys: "sha256:1f3a90c2".
func (h KeyHash) String() string { return "sha256:" + hex.EncodeToString(h[:keyHashBytesShown]) }

// Account is a tenant whose requests are identified by their API keys.
type Account struct {
	// Name is unique among accounts and not empty. It is a valid value of a header field.
	Name string `json:"name"`
	// Priority replaces the priority of the routes for the account's requests; 0 is the highest. Nil: the route's.
	Priority *int `json:"prio,omitempty"`
	// Rate is the quota over all proxies together, in requests per second. 0: no limit.
	Rate float64 `json:"rate_s"`
	// Burst is the number of requests beyond Rate that are within the quota in one quota window.
	Burst float64 `json:"burst"`
}

// Limited reports whether the account has a quota.
func (a *Account) Limited() bool { return a.Rate > 0 }

// accountItem is an account with the operator's own JSON of it. Only the JSON contains the keys themselves.
type accountItem struct {
	Account
	keyHashes []KeyHash // may be empty; only documents of earlier builds have two accounts with the same key
	raw       json.RawMessage
}

func (a *accountItem) itemName() string         { return a.Name }
func (a *accountItem) rawJSON() json.RawMessage { return a.raw }
func (a *accountItem) detach()                  { a.raw = bytes.Clone(a.raw) }

// accounts reads a list of accounts. It never returns nil: with nil, requests would need no keys, but with an empty
// list they do.
func (o *object) accounts(key string, raw json.RawMessage) []*accountItem {
	if accounts := readItems(o, key, raw, (*object).account); accounts != nil {
		return accounts
	}
	return []*accountItem{}
}

// account reads one account.
func (o *object) account(raw json.RawMessage) *accountItem {
	a := &accountItem{raw: raw}
	if !o.requireObject(raw) {
		return a
	}
	eachField(raw, func(k []byte, v json.RawMessage) {
		switch string(k) {
		case "name":
			o.stringValue("name", v, &a.Name)
		case "apikeys":
			a.keyHashes = o.readKeyHashes(v)
		case "prio":
			if !absent(v) {
				a.Priority = new(int)
				o.nonNegativeInt("prio", v, a.Priority)
			}
		case "rate_s":
			o.nonNegativeNumber("rate_s", v, &a.Rate)
		case "burst":
			o.nonNegativeNumber("burst", v, &a.Burst)
		}
	})
	o.check("name", a.Name, ruleRequired, ruleHeaderValue)
	return a
}

// readKeyHashes reads a list of API keys. Findings contain neither the keys nor parts of them.
func (o *object) readKeyHashes(raw json.RawMessage) []KeyHash {
	if absent(raw) || !o.requireList("apikeys", raw) {
		return nil
	}
	var hashes []KeyHash
	eachItem(raw, func(i int, v json.RawMessage) {
		if v[0] != '"' || len(v) == len(`""`) {
			o.found.add(o.fieldPath(indexed("apikeys", i)), "must be a string that is not empty")
			return
		}
		hashes = append(hashes, HashKey(string(unquote(v))))
	})
	return hashes
}

// checkAccountKeys adds a finding for each key that belongs to two accounts.
func (d *Document) checkAccountKeys(found *Findings) {
	owners := make(map[KeyHash]int, len(d.accounts))
	for i, a := range d.accounts {
		for j, hash := range a.keyHashes {
			first, taken := owners[hash]
			if taken && first != i {
				found.add(indexed("accounts", i)+"."+indexed("apikeys", j), "is a key of the account %q too",
					d.accounts[first].Name)
				continue
			}
			owners[hash] = i
		}
	}
}

// Accounts returns the accounts in order; nil if requests need no keys. They must not be changed.
func (d *Document) Accounts() []*Account {
	if d == nil || d.accounts == nil {
		return nil
	}
	out := make([]*Account, len(d.accounts))
	for i, a := range d.accounts {
		out[i] = &a.Account
	}
	return out
}

// indexAccounts fills in the accounts by key and by name.
func (x *Index) indexAccounts(d *Document) {
	if d.accounts == nil {
		return
	}
	x.accountsByKey = make(map[KeyHash]*Account, len(d.accounts))
	x.accountsByName = make(map[string]*Account, len(d.accounts))
	for _, a := range d.accounts {
		x.accountsByName[a.Name] = &a.Account
		for _, hash := range a.keyHashes {
			if other, taken := x.accountsByKey[hash]; taken && other != &a.Account {
				// An earlier build, which did not check this, stored the document: the key identifies no account.
				x.accountsByKey[hash] = nil
				continue
			}
			x.accountsByKey[hash] = &a.Account
		}
	}
}

// KeysRequired reports whether the configuration has a list of accounts, so that requests of routes that aren't public
// need a key.
func (x *Index) KeysRequired() bool { return x.accountsByKey != nil }

// AccountOfKey returns the account that a key belongs to.
func (x *Index) AccountOfKey(key string) (*Account, bool) {
	a := x.accountsByKey[HashKey(key)]
	return a, a != nil
}

// Account returns an account by its name.
func (x *Index) Account(name string) (*Account, bool) {
	a, ok := x.accountsByName[name]
	return a, ok
}
