package settings

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"
)

func class(name string, effect Idempotency, giveUp float64) Class {
	return Class{Name: name, Idempotency: effect, ClientTimeoutMs: giveUp, LatencyTargetMs: giveUp / 2,
		DedupScope: DedupAll}
}

// Over random sequences of versions, a number refers to the same class for as long as a request of it
// may be open, each name resolves to the newest settings, and the table stays bounded.
func TestClassNumbersStayStable(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		draw := func() (s Settings) {
			for _, name := range []string{"a", "b", "c", "d", "e"} {
				if len(s.Classes) == 0 || rng.IntN(3) > 0 {
					s.Classes = append(s.Classes, class(name,
						[]Idempotency{Idempotent, Deduplicated, NonIdempotent}[rng.IntN(3)],
						float64(100+100*rng.IntN(3))))
				}
			}
			for i := range rng.IntN(4) {
				s.Tenants = append(s.Tenants, Tenant{Name: fmt.Sprint("t", i), QuotaShare: rng.Float64()})
			}
			return s
		}
		table, now := NewTable(draw()), time.Unix(1e9, 0)
		type open struct {
			number int
			class  Class
			since  time.Time
		}
		var requests []open
		for range 60 {
			for _, i := range table.Classes {
				requests = append(requests, open{i, table.Settings.Classes[i], now})
			}
			now = now.Add(time.Duration(rng.IntN(60)) * time.Second)
			set := draw()
			next, err := table.Next(set, now)
			if err != nil {
				t.Fatal(seed, err)
			}
			for _, c := range set.Classes {
				i := next.Classes[c.Name]
				if next.Settings.Classes[i] != c {
					t.Fatalf("seed %d: %q is %+v, want %+v", seed, c.Name, next.Settings.Classes[i], c)
				}
				if old, known := table.Classes[c.Name]; known && next.PreviousClass[i] != old {
					t.Fatalf("seed %d: %q inherits from class %d, want %d", seed, c.Name, next.PreviousClass[i], old)
				}
			}
			if len(next.Classes) != len(set.Classes) || len(next.Tenants) != len(set.Tenants) {
				t.Fatalf("seed %d: names %v of %v", seed, maps.Collect(maps.All(next.Classes)), set.Classes)
			}
			for name, i := range next.Tenants {
				if next.Settings.Tenants[i].Name != name || table.Settings.Tenants != nil &&
					i < len(table.Settings.Tenants) && table.Settings.Tenants[i].Name != name {
					t.Fatalf("seed %d: tenant %q at %d", seed, name, i)
				}
			}
			for _, r := range requests {
				got := next.Settings.Classes[r.number]
				got.Retired = false
				if now.Sub(r.since) < time.Minute && got != r.class {
					t.Fatalf("seed %d: an open request's class %d is %+v, was %+v", seed, r.number, got, r.class)
				}
			}
			table = next
		}
		if n := len(table.Settings.Classes); n > 100 {
			t.Fatalf("seed %d: %d classes after 60 versions over half an hour", seed, n)
		}
	}
}

// Next fails once MaxClasses is reached and leaves the table unchanged; numbers become free again
// after classRetention.
func TestTableRejectsTooManyClasses(t *testing.T) {
	table, now := NewTable(Settings{Classes: []Class{class("a", Idempotent, 1)}}), time.Unix(1e9, 0)
	for i := range 2 * MaxClasses {
		next, err := table.Next(Settings{Classes: []Class{class("a", Idempotent, float64(i+2))}}, now)
		if err != nil {
			if len(table.Settings.Classes) != MaxClasses ||
				table.Settings.Classes[table.Classes["a"]].ClientTimeoutMs != float64(i+1) {
				t.Fatal(i, len(table.Settings.Classes))
			}
			if _, err = table.Next(Settings{Classes: []Class{class("a", Idempotent, 1)}},
				now.Add(classRetention)); err != nil {
				t.Fatal("class numbers are not reused after classRetention:", err)
			}
			return
		}
		table = next
	}
	t.Fatal("Next never rejects a class")
}
