package controlplane

import (
	"fmt"
	"testing"
)

// stateWithChanges returns a state that accepted the given number of changes.
func stateWithChanges(tb testing.TB, changes int) *controlState {
	r := &controlState{}
	apply(tb, r, replaceCommand(0, "1", "a"))
	acceptMore(tb, r, changes-1)
	return r
}

var rememberedCounts = []int{64, 1000, 4096, maxRemembered}

// BenchmarkJudge judges the oldest remembered change, resubmitted.
func BenchmarkJudge(b *testing.B) {
	for _, n := range rememberedCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := stateWithChanges(b, n)
			call := replaceCommand(0, "1", "a")
			b.ReportAllocs()
			for b.Loop() {
				r.judge(call)
			}
		})
	}
}

// BenchmarkApply applies a change that only raises the version.
func BenchmarkApply(b *testing.B) {
	for _, n := range rememberedCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := stateWithChanges(b, n)
			b.ReportAllocs()
			for b.Loop() {
				acceptMore(b, r, 1)
			}
		})
	}
}

// BenchmarkRemember records one more change, as Apply does.
func BenchmarkRemember(b *testing.B) {
	var a acceptedChanges
	b.ReportAllocs()
	for version := int64(1); b.Loop(); version++ {
		a.add(version, uint64(version))
	}
}

// BenchmarkSnapshot encodes and decodes a snapshot, and reports the bytes of the remembered changes in it and in
// memory.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range rememberedCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := stateWithChanges(b, n)
			encodedSize := len(r.Snapshot())
			s := storedBy(b, r)
			s.Versions, s.Digests, s.OldestBase = nil, nil, nil
			rest, err := s.MarshalMsg(nil)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if err := r.Restore(r.seq, r.Snapshot()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(encodedSize-len(rest)), "snapshot-bytes")
			b.ReportMetric(float64(8*(cap(r.accepted.versions)+cap(r.accepted.digests))), "memory-bytes")
		})
	}
}
