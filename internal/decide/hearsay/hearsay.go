// Package hearsay encodes and evaluates the reports that members of a fleet gossip about unresponsive servers. In a
// large fleet each agent sends few requests to any one server, so a single agent detects a failure late. A single
// agent may also be broken or lie. So a report counts only together with reports from other machines, and it can only
// count against a server: no report makes an agent trust a server more.
//
// The package does no I/O and reads no clock. A Reporter isn't safe for concurrent use.
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

// MaxServers is the maximum number of servers in a report. The ones with the lowest hashes are named, so that members
// that have many unresponsive servers name the same ones.
const MaxServers = 8

// Hash returns the hash by which a report names a server.
func Hash(a cluster.Addr) uint32 { return uint32(arith.Mix(a.Hash()) >> 32) }

// Reporter makes one agent's reports. The zero Reporter is ready for use.
type Reporter struct{ previous []uint32 }

// Report returns the encoded report of the servers that are unresponsive in this call and were so in the call before:
// a single unanswered attempt is often followed by one that succeeds. While the agent suspects itself, the report is
// empty, because it may be its own network that is partitioned.
func (l *Reporter) Report(unresponsive []cluster.Addr, selfSuspicion bool) string {
	var now []uint32
	for _, a := range unresponsive {
		now = append(now, Hash(a))
	}
	slices.Sort(now)
	now = slices.Compact(now)
	earlier := l.previous
	if l.previous = now; selfSuspicion {
		return ""
	}
	var raw []byte
	n := 0
	for _, h := range now {
		if _, before := slices.BinarySearch(earlier, h); before && n < MaxServers {
			raw = binary.BigEndian.AppendUint32(raw, h)
			n++
		}
	}
	return hex.EncodeToString(raw)
}

// decode decodes a report.
func decode(report string) ([]uint32, error) {
	raw, err := hex.DecodeString(report)
	if err != nil {
		return nil, err
	}
	if len(raw)%4 != 0 || len(raw) > 4*MaxServers {
		return nil, errors.New("hearsay: report with an incomplete hash or too many hashes")
	}
	var all []uint32
	for ; len(raw) > 0; raw = raw[4:] {
		all = append(all, binary.BigEndian.Uint32(raw))
	}
	return all, nil
}

// Count returns the number of servers that a report names, 0 if it is invalid.
func Count(report string) int {
	all, _ := decode(report)
	return len(all)
}

// Reports is the reports of a fleet.
type Reports struct {
	reporters map[uint32]map[string]bool // by hash of a server: the machines that report it
	quorum    int                        // number of machines that have to report a server
}

// Collect collects the reports of the members in a view. Reports of members that aren't alive, are suspected, have a
// duplicate name or are leaving don't count.
func Collect(v *members.View) Reports {
	h := Reports{reporters: map[uint32]map[string]bool{}}
	machines := map[string]bool{}
	for i := range v.Members {
		m := &v.Members[i]
		if m.State != members.Alive || len(m.SuspectedBy) > 0 || m.Twin || m.Info.Left {
			continue
		}
		machines[m.Info.Machine] = true
		all, _ := decode(m.Info.Silent) // the member's report of unresponsive servers; an invalid one is ignored
		for _, s := range all {
			if h.reporters[s] == nil {
				h.reporters[s] = map[string]bool{}
			}
			h.reporters[s][m.Info.Machine] = true
		}
	}
	h.quorum = min(3, max(2, len(machines)/2+1))
	return h
}

// Unresponsive reports whether members on enough machines report a server: three machines, or a majority if fewer than
// five have members whose reports count, and always at least two.
func (h *Reports) Unresponsive(a cluster.Addr) bool { return len(h.reporters[Hash(a)]) >= h.quorum }
