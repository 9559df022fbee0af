package main

import (
	"math"
	"runtime"
	"runtime/debug"
	"testing"
)

var kept [64][]byte

// A quiet agent has its size early: what little traffic leaves behind is collected before it has
// filled many times what is held.
func TestQuietAgentsStaySmall(t *testing.T) {
	percent, limit := debug.SetGCPercent(100), debug.SetMemoryLimit(-1)
	defer func() {
		debug.SetGCPercent(percent)
		debug.SetMemoryLimit(limit)
	}()
	bound(64)
	if debug.SetMemoryLimit(-1) == math.MaxInt64 {
		t.Error("the platform's limit on memory is not heeded")
	}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	held, most := m.HeapAlloc, uint64(0)
	for i := range 30_000 { // 30 MB in all
		kept[i%len(kept)] = make([]byte, 1024)
		if i%64 == 0 {
			runtime.ReadMemStats(&m)
			most = max(most, m.HeapAlloc)
		}
	}
	if bound := 2*held + 6<<20; most > bound {
		t.Errorf("%d bytes are held and %d were on the heap, want at most %d", held, most, bound)
	}
}
