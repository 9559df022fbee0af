package sharing

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func beginRecord(id uint16) Record {
	return Record{ID: id, Kind: BeginRequest, Responder: true, KeepConn: true}
}
func record(id uint16, k Kind, n int) Record { return Record{ID: id, Kind: k, Length: n} }

// The action for each record depends on the records before it.
func TestRecordSequences(t *testing.T) {
	end := Record{ID: 999} // represents a call of End(1)
	for name, c := range map[string]struct {
		came []Record
		want []Action
	}{
		"plain": {[]Record{beginRecord(1), record(1, ParamsStream, 9), record(1, ParamsStream, 0),
			record(1, StdinStream, 5), record(1, StdinStream, 0)},
			[]Action{Begin, AppendParams, ParamsComplete, AppendBody, BodyComplete}},
		"body before params end": {[]Record{beginRecord(1), record(1, StdinStream, 5), record(1, ParamsStream, 9),
			record(1, StdinStream, 0), record(1, ParamsStream, 0)},
			[]Action{Begin, AppendBody, AppendParams, BodyComplete, ParamsComplete}},
		"third request over the limit": {[]Record{beginRecord(1), beginRecord(2), record(2, ParamsStream, 1),
			record(1, ParamsStream, 1), beginRecord(3), record(3, ParamsStream, 4)},
			[]Action{Begin, Begin, AppendParams, AppendParams, RejectOverloaded, Ignore}},
		"unknown request": {[]Record{record(1, ParamsStream, 9), record(1, StdinStream, 0),
			record(7, AbortRequest, 0)}, []Action{Ignore, Ignore, Ignore}},
		"duplicate begin": {[]Record{beginRecord(1), beginRecord(1)}, []Action{Begin, CloseConnection}},
		"id reused after its end": {[]Record{beginRecord(1), record(1, ParamsStream, 0), end,
			record(1, StdinStream, 3), record(1, AbortRequest, 0), beginRecord(1), record(1, ParamsStream, 3)},
			[]Action{Begin, ParamsComplete, 0, Ignore, Ignore, Begin, AppendParams}},
		"aborted, twice": {[]Record{beginRecord(1), record(1, ParamsStream, 2), record(1, AbortRequest, 0),
			record(1, AbortRequest, 0), record(1, ParamsStream, 2), beginRecord(1)},
			[]Action{Begin, AppendParams, Abort, Ignore, Ignore, CloseConnection}},
		"data after end of stream": {[]Record{beginRecord(1), record(1, ParamsStream, 0), record(1, ParamsStream, 4),
			record(1, StdinStream, 0), record(1, StdinStream, 4)},
			[]Action{Begin, ParamsComplete, Ignore, BodyComplete, Ignore}},
		"too many params": {[]Record{beginRecord(1), record(1, ParamsStream, 100), record(1, ParamsStream, 1),
			record(1, ParamsStream, 0), record(1, StdinStream, 0), record(1, AbortRequest, 0)},
			[]Action{Begin, AppendParams, ParamsTooLong, Ignore, Ignore, Abort}},
		"unsupported role": {[]Record{{ID: 1, Kind: BeginRequest, KeepConn: true}, record(1, ParamsStream, 3)},
			[]Action{RejectRole, Ignore}},
		"management records": {[]Record{record(0, ValuesQuery, 9), record(0, Other, 0), record(0, ParamsStream, 0),
			{ID: 0, Kind: BeginRequest, Responder: true}},
			[]Action{ReplyValues, ReplyUnknownType, ReplyUnknownType, CloseConnection}},
		"streams of other roles": {[]Record{beginRecord(1), record(1, ExtraStream, 9), record(1, Other, 3)},
			[]Action{Begin, Ignore, Ignore}},
	} {
		conn := New(Limits{Requests: 2, Params: 100})
		for i, r := range c.came {
			if r == end {
				if !conn.End(1) || conn.End(1) {
					t.Errorf("%s: End must report true exactly once", name)
				}
				continue
			}
			if got := conn.Record(r); got != c.want[i] {
				t.Errorf("%s: record %d: %d, want %d", name, i, got, c.want[i])
			}
		}
	}
}

// For any sequence of records, an id is open from its Begin to its End only, no more requests are open
// than allowed, the params and the body of a request complete at most once, and the connection closes
// only when no request is open.
func TestRandomRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 3).Draw(t, "most")
		c := New(Limits{Requests: most, Params: 50})
		open, said := map[uint16]bool{}, map[uint16]map[Action]int{}
		last := false
		for range rapid.IntRange(0, 60).Draw(t, "records") {
			id := uint16(rapid.IntRange(0, 4).Draw(t, "id"))
			if rapid.IntRange(0, 6).Draw(t, "end") == 0 {
				if c.End(id) != open[id] {
					t.Fatal("End does not report whether the request was open")
				}
				delete(open, id)
				continue
			}
			r := Record{ID: id, Kind: Kind(rapid.IntRange(0, int(Other)).Draw(t, "kind")),
				Length:    rapid.IntRange(0, 30).Draw(t, "length"),
				Responder: rapid.IntRange(0, 9).Draw(t, "role") > 0, KeepConn: rapid.IntRange(0, 9).Draw(t, "keep") > 0}
			v := c.Record(r)
			switch v {
			case Begin:
				if open[id] || len(open) >= most || id == 0 {
					t.Fatal("request begun with an invalid id, a duplicate id or over the limit")
				}
				open[id], said[id] = true, map[Action]int{}
			case AppendParams, ParamsComplete, AppendBody, BodyComplete, Abort, ParamsTooLong:
				if !open[id] {
					t.Fatalf("action %d for a request that is not open", v)
				}
				said[id][v]++
				if over := said[id][Abort] + said[id][ParamsTooLong]; v != Abort && over > 0 && v != ParamsTooLong ||
					said[id][v] > 1 && v != AppendParams && v != AppendBody {
					t.Fatalf("action %d after its end, or twice", v)
				}
				if v == AppendParams && said[id][ParamsComplete] > 0 || v == AppendBody && said[id][BodyComplete] > 0 {
					t.Fatal("data accepted after the end of its stream")
				}
			}
			if r.Kind == BeginRequest && id != 0 && v != CloseConnection {
				last = last || !r.KeepConn
			}
			if c.Open() != len(open) || c.ShouldClose() != (last && len(open) == 0) {
				t.Fatalf("%d open, want %d; ending %v", c.Open(), len(open), c.ShouldClose())
			}
		}
	})
}

// A body that is alone on its connection is never terminated. Beside other requests it buffers at most
// MaxBuffered, and may pause for as long as its server drains it fast enough.
func TestBackpressure(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		n    int
		b    Body
		want Backpressure
		wait time.Duration
	}{
		{1, Body{HasBudget: true}, Buffer, 0}, {1, Body{Buffered: MaxBuffered - 1, OtherRequests: 5, HasBudget: true},
			Buffer, 0},
		{1, Body{Buffered: MaxBuffered, HasBudget: true, Paused: 100 * s}, Pause, 0}, {1, Body{}, Pause, 0},
		{1, Body{Buffered: MaxBuffered, OtherRequests: 5, HasBudget: true, Received: MaxBuffered}, Pause, MaxPause},
		{1, Body{Buffered: MaxBuffered, OtherRequests: 5, HasBudget: true, Received: MaxBuffered, Paused: MaxPause},
			Terminate, 0},
		{1, Body{Buffered: MaxBuffered, OtherRequests: 5, HasBudget: true, Received: MaxBuffered + 2*MinDrainRate,
			Paused: MaxPause + s}, Pause, s},
		{1, Body{Buffered: MaxBuffered, OtherRequests: 5, HasBudget: true, Received: MaxBuffered + 2*MinDrainRate,
			Paused: MaxPause + 2*s}, Terminate, 0},
		{1, Body{OtherRequests: 1, Paused: MaxPause}, Terminate, 0},
		{MaxBuffered + 1, Body{OtherRequests: 1, HasBudget: true, Paused: s}, Terminate, 0},
	} {
		if got, wait := BackpressureFor(c.n, c.b); got != c.want || wait != c.wait {
			t.Errorf("%+v: %d, %v", c, got, wait)
		}
	}
}
