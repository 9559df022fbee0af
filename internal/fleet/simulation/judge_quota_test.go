package simulation

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// quotaBounds allow (10 x 2 + 4) x 1.5 + 4 = 40 requests in a window of 2 s to the tenant of quotaAccount.
var quotaBounds = Bounds{QuotaWindow: 2 * time.Second, QuotaExcess: 0.5, QuotaExtra: 4}

func quotaAccount(limits ...Limit) Account {
	if len(limits) == 0 {
		limits = []Limit{{Rate: 10, Burst: 4}}
	}
	return Account{Name: "airline", Keys: []string{"k1", "k2"}, Limits: limits}
}

// keyed holds requests with a key: for each, the ms at which it was sent and at which a backend ran it.
type keyed struct {
	key   string
	times [][2]int
}

// evenly returns n requests that arrive when they are sent, from a time in equal steps, all in ms.
func evenly(key string, n, from, step int) keyed {
	k := keyed{key: key}
	for i := range n {
		k.times = append(k.times, [2]int{from + i*step, from + i*step})
	}
	return k
}

// records returns the records that an Engine and a Client would have made of the requests.
func records(sets ...keyed) (entries []Entry, results []Result) {
	for _, set := range sets {
		for _, at := range set.times {
			attempt := fmt.Sprintf("a%d", len(results))
			entries = append(entries, Entry{Attempt: attempt, Kind: KindRequest, Ran: true, At: after(at[1])})
			results = append(results, Result{
				Request: Request{Attempt: attempt, Key: set.key},
				SentAt:  after(at[0]),
			})
		}
	}
	return entries, results
}

// TestJudgeQuota: no window may contain more requests of a tenant that are both sent and run in it than the quota with
// its excess allows, wherever the window begins.
func TestJudgeQuota(t *testing.T) {
	const fits = 40
	for _, tc := range []struct {
		name string
		sets []keyed
		want []Rule
	}{
		{"as many as are allowed", []keyed{evenly("k1", fits, 0, 0)}, []Rule{}},
		{"one more", []keyed{evenly("k1", fits+1, 0, 0)}, []Rule{QUOTA}},
		{"one more, a window long", []keyed{evenly("k1", fits, 0, 50), evenly("k1", 1, 2000, 0)}, []Rule{QUOTA}},
		{"one more, a ms beyond a window", []keyed{evenly("k1", 1, 0, 0), evenly("k1", fits, 2001, 0)}, []Rule{}},
		{"across the bound of two even windows", []keyed{evenly("k1", 21, 1900, 0), evenly("k1", 20, 2100, 0)},
			[]Rule{QUOTA}},
		{"with two keys", []keyed{evenly("k1", 21, 0, 0), evenly("k2", 20, 0, 0)}, []Rule{QUOTA}},
		{"with the key of another", []keyed{evenly("k1", fits, 0, 0), evenly("k3", 200, 0, 0)}, []Rule{}},
		{"one sent before the window", []keyed{evenly("k1", fits, 1000, 0), {"k1", [][2]int{{900, 2901}}}}, []Rule{}},
		{"one sent just in the window", []keyed{evenly("k1", fits, 1000, 0), {"k1", [][2]int{{901, 2901}}}},
			[]Rule{QUOTA}},
		{"one that arrives after the window", []keyed{evenly("k1", fits, 0, 0), {"k1", [][2]int{{0, 2001}}}}, []Rule{}},
		{"two breaches apart", []keyed{evenly("k1", fits+1, 0, 0), evenly("k1", fits+1, 9000, 0)},
			[]Rule{QUOTA, QUOTA}},
		{"a long one is told by each window", []keyed{evenly("k1", 200, 0, 40)}, []Rule{QUOTA, QUOTA, QUOTA, QUOTA}},
	} {
		entries, results := records(tc.sets...)
		o := recorded(quotaBounds, entries, results)
		o.checkQuotas([]Account{quotaAccount(), {Name: "free", Keys: []string{"k3"}}})
		qt.Check(t, rules(o.findings), qt.DeepEquals, tc.want, qt.Commentf("%s", tc.name))
	}
}

// TestJudgeQuotaCountsRuns: of the requests in a window only those that a backend ran count, each once.
func TestJudgeQuotaCountsRuns(t *testing.T) {
	for _, tc := range []struct {
		name  string
		alter func(o *observations)
		want  []Rule
	}{
		{"all ran", func(*observations) {}, []Rule{QUOTA}},
		{"one was turned away", func(o *observations) { o.entries[7].Ran = false }, []Rule{}},
		{"one was only read", func(o *observations) { o.entries[7].Kind = KindPrefill }, []Rule{}},
		{"one has no key", func(o *observations) { o.results[7].Key = "" }, []Rule{}},
		{"one ran at a second backend", func(o *observations) {
			o.entries[7].Ran = false
			again := o.entries[6]
			o.entriesByAttempt["a6"] = append(o.entriesByAttempt["a6"], &again)
		}, []Rule{}},
		{"one was turned away and then ran", func(o *observations) {
			again := o.entries[7]
			o.entries[7].Ran = false
			o.entriesByAttempt["a7"] = append(o.entriesByAttempt["a7"], &again)
		}, []Rule{QUOTA}},
		{"not judged", func(o *observations) { o.bounds.QuotaWindow = 0 }, []Rule{}},
	} {
		entries, results := records(evenly("k1", 41, 0, 0))
		o := recorded(quotaBounds, entries, results)
		tc.alter(o)
		o.checkQuotas([]Account{quotaAccount()})
		qt.Check(t, rules(o.findings), qt.DeepEquals, tc.want, qt.Commentf("%s", tc.name))
	}
}

// TestJudgeQuotaOfChangedLimits: a window is judged by the highest limit that may have been in force in it.
func TestJudgeQuotaOfChangedLimits(t *testing.T) {
	lowered := []Limit{{Rate: 100, Until: after(3000)}, {Rate: 10, Burst: 4, From: after(1000)}}
	raised := []Limit{{Rate: 10, Burst: 4, Until: after(3000)}, {Rate: 100, From: after(1000)}}
	lifted := []Limit{{Rate: 10, Burst: 4, Until: after(3000)}, {From: after(1000)}}
	for _, tc := range []struct {
		name   string
		limits []Limit
		set    keyed
		want   []Rule
	}{
		{"lowered, the old one may be in force", lowered, evenly("k1", 41, 3000, 0), []Rule{}},
		{"lowered, in a window after it", lowered, evenly("k1", 41, 3001, 0), []Rule{QUOTA}},
		{"lowered, in a window after it, within the new one", lowered, evenly("k1", 40, 3001, 0), []Rule{}},
		{"lowered, more than the old one", lowered, evenly("k1", 305, 0, 0), []Rule{QUOTA}},
		{"raised, the new one may be in force", raised, keyed{"k1", append(evenly("", 20, -900, 0).times,
			evenly("", 21, 1050, 0).times...)}, []Rule{}},
		{"raised, in a window before it", raised, evenly("k1", 41, -1001, 0), []Rule{QUOTA}},
		{"raised, within the new one", raised, evenly("k1", 304, 3000, 0), []Rule{}},
		{"lifted", lifted, evenly("k1", 2000, 3000, 0), []Rule{}},
		{"lifted, in a window before it", lifted, evenly("k1", 41, -1001, 0), []Rule{QUOTA}},
	} {
		entries, results := records(tc.set)
		o := recorded(quotaBounds, entries, results)
		o.checkQuotas([]Account{quotaAccount(tc.limits...)})
		qt.Check(t, rules(o.findings), qt.DeepEquals, tc.want, qt.Commentf("%s", tc.name))
	}
}

// TestJudgeKeys: a request that runs must have a key of some configuration, and its backend must get the key's tenant.
func TestJudgeKeys(t *testing.T) {
	accounts := []Account{
		{Name: "airline", Keys: []string{"k1", "moved"}},
		{Name: "ferry", Keys: []string{"k2", "moved"}},
	}
	for _, tc := range []struct {
		name   string
		key    string
		public bool
		told   []string
		notRun bool
		want   []Rule
	}{
		{"a key with its tenant", "k1", false, []string{"airline"}, false, []Rule{}},
		{"a key that no configuration held", "k9", false, nil, false, []Rule{ROUTE}},
		{"that, with a tenant", "k9", false, []string{"airline"}, false, []Rule{ROUTE}},
		{"that, turned away", "k9", false, nil, true, []Rule{}},
		{"no key", "", false, nil, false, []Rule{ROUTE}},
		{"no key on a public route", "", true, nil, false, []Rule{}},
		{"an unknown key on a public route", "k9", true, nil, false, []Rule{}},
		{"no key on a public route, with a tenant", "", true, []string{"airline"}, false, []Rule{UNASKED}},
		{"a key without its tenant", "k1", false, nil, false, []Rule{UNASKED}},
		{"a key with another tenant", "k1", false, []string{"ferry"}, false, []Rule{UNASKED}},
		{"a key with two tenants", "k1", false, []string{"airline", "ferry"}, false, []Rule{UNASKED}},
		{"a key that was passed on", "moved", false, []string{"ferry"}, false, []Rule{}},
	} {
		header := http.Header{}
		for _, name := range tc.told {
			header.Add(HeaderTenant, name)
		}
		entries, results := records(keyed{tc.key, [][2]int{{0, 1}}})
		entries[0].Header = header
		entries[0].Ran = !tc.notRun
		results[0].Public = tc.public
		o := recorded(Bounds{}, entries, results)
		o.checkKeys(accounts)
		qt.Check(t, rules(o.findings), qt.DeepEquals, tc.want, qt.Commentf("%s", tc.name))
		o = recorded(Bounds{}, entries, results)
		o.checkKeys(nil)
		qt.Check(t, o.findings, qt.HasLen, 0, qt.Commentf("%s, without accounts", tc.name))
	}
}
