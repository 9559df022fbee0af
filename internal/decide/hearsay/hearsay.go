// Package hearsay is what the members of a fleet tell each other of servers that give them no answer. An agent of many
// meets a server seldom, so one alone learns late; but one alone may also be broken, or lie. So what a member says counts
// only with others', on other machines, and only against a server: nothing here makes anybody less careful.
//
// There is no I/O and no clock here; all of it is values.
package hearsay

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"slices"

	"molepaddle/internal/decide/arith"
	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/members"
)

// Most is how many servers a member names: the first by their hashes, so that members that hear nothing of many name
// the same ones.
const Most = 8

// Hash names a server in a word.
func Hash(a cluster.Addr) uint32 { return uint32(arith.Mix(a.Hash()) >> 32) }

// Look is what one agent finds silent, as its own word to the others. The zero Look has looked at nothing.
type Look struct{ last []uint32 }

// Word is the servers that have been silent at this look and the one before: one unanswered attempt is soon
// put right by the next. An agent that doubts itself says nothing: it is its own way that may be cut.
func (l *Look) Word(silent []cluster.Addr, doubts bool) string {
	var now []uint32
	for _, a := range silent {
		now = append(now, Hash(a))
	}
	slices.Sort(now)
	now = slices.Compact(now)
	was := l.last
	if l.last = now; doubts {
		return ""
	}
	var text []byte
	n := 0
	for _, h := range now {
		if _, before := slices.BinarySearch(was, h); before && n < Most {
			text = binary.BigEndian.AppendUint32(text, h)
			n++
		}
	}
	return hex.EncodeToString(text)
}

// read reads a word.
func read(word string) ([]uint32, error) {
	text, err := hex.DecodeString(word)
	if err != nil {
		return nil, err
	}
	if len(text)%4 != 0 || len(text) > 4*Most {
		return nil, errors.New("hearsay: no whole hashes, or too many")
	}
	var all []uint32
	for ; len(text) > 0; text = text[4:] {
		all = append(all, binary.BigEndian.Uint32(text))
	}
	return all, nil
}

// Count is how many servers a word names; one that makes no sense names none.
func Count(word string) int {
	all, _ := read(word)
	return len(all)
}

// Heard is what a fleet says.
type Heard struct {
	by     map[uint32]map[string]bool // machines of those who say so
	quorum int
}

// Gather takes what the members of a view say. Who can't be heard, is doubted, stands twice or leaves says nothing.
func Gather(v *members.View) Heard {
	h := Heard{by: map[uint32]map[string]bool{}}
	machines := map[string]bool{}
	for i := range v.Members {
		m := &v.Members[i]
		if m.State != members.Alive || len(m.SuspectedBy) > 0 || m.Twin || m.Info.Left {
			continue
		}
		machines[m.Info.Machine] = true
		all, _ := read(m.Info.Silent) // of one that makes no sense nothing is believed
		for _, s := range all {
			if h.by[s] == nil {
				h.by[s] = map[string]bool{}
			}
			h.by[s][m.Info.Machine] = true
		}
	}
	h.quorum = min(3, max(2, len(machines)/2+1))
	return h
}

// Silent tells whether enough of them can't hear a server: three machines' members, or the most where there are fewer
// than five, and never one alone.
func (h *Heard) Silent(a cluster.Addr) bool { return len(h.by[Hash(a)]) >= h.quorum }
