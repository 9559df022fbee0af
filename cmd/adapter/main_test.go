package main

import (
	"bytes"
	"encoding/binary"
	"io"
	"math"
	"strings"
	"testing"
)

const settings = `{"classes":[{"name":"a","aimMs":100,"giveUpMs":500,"effect":"free","credit":1}],
"limits":{"maxAttempts":2},"membershipMode":"pushed","roundMs":5}`

// batch encodes a batch frame. Records are given by their first bytes and padded to 48.
func batch(clock float64, tail string, records ...[]byte) []byte {
	be := binary.BigEndian
	out := be.AppendUint32(nil, uint32(len(records)))
	out = be.AppendUint32(out, uint32(8+48*len(records)+len(tail)))
	out = be.AppendUint64(out, math.Float64bits(clock))
	for _, r := range records {
		out = append(out, append(r, make([]byte, 48-len(r))...)...)
	}
	return append(out, tail...)
}

func bootRecord(who uint32, textLen int) []byte {
	be := binary.BigEndian
	r := be.AppendUint32([]byte{25}, who)
	r = be.AppendUint64(r, 7)
	r = be.AppendUint32(r, 0)
	return be.AppendUint32(r, uint32(textLen))
}

func ask(who, id uint32) []byte {
	be := binary.BigEndian
	r := be.AppendUint32([]byte{17}, who)
	r = be.AppendUint32(r, id)
	r = append(r, make([]byte, 14)...)
	return be.AppendUint64(r, math.Float64bits(400))
}

func killed(who uint32) []byte { return binary.BigEndian.AppendUint32([]byte{21}, who) }

func TestKillAndBootInOneBatch(t *testing.T) {
	in := batch(1000, settings, bootRecord(3, len(settings)), ask(3, 9))
	in = append(in, batch(1005, settings, killed(3), ask(3, 10), bootRecord(3, len(settings)), ask(3, 11))...)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	// Each of the two balancers queues one request, as there is no list, and sets one timer. The request between
	// the kill and the boot has no balancer and causes no action.
	reply := out.Bytes()
	for i, want := range []uint32{1, 1} {
		n, size := binary.BigEndian.Uint32(reply), binary.BigEndian.Uint32(reply[4:])
		if n != want || reply[8] != 88 {
			t.Errorf("batch %d: %d actions, the first with code %d; want %d timer", i, n, reply[8], want)
		}
		reply = reply[8+size:]
	}
}

func TestBadSettingsAreReportedAsACrash(t *testing.T) {
	bad := strings.Replace(settings, "free", "maybe", 1)
	var out bytes.Buffer
	if err := run(bytes.NewReader(batch(1000, bad, bootRecord(3, len(bad)))), &out); err != nil {
		t.Fatal(err)
	}
	if reply := out.Bytes(); reply[8] != 87 || !strings.Contains(string(reply), "classes[0].effect") {
		t.Errorf("reply %q is not a crash that names the key", reply)
	}
}

func TestTruncatedInputIsAnError(t *testing.T) {
	in := batch(1000, "", killed(1))
	var out bytes.Buffer
	if err := run(bytes.NewReader(in[:len(in)-1]), &out); err == nil || strings.Contains(err.Error(), "\n") {
		t.Errorf("error %v, want one line", err)
	}
	if err := run(bytes.NewReader(nil), &out); err != nil {
		t.Errorf("empty input: %v", err)
	}
}

// For any input the adapter replies or returns a one-line error; it never panics.
func FuzzAdapter(f *testing.F) {
	list := func(since, weight float64) []byte {
		e := append([]byte{0, 0}, binary.BigEndian.AppendUint64(nil, math.Float64bits(since))...)
		e = append(e, 1, 10, 0, 0, 1, 0x13, 0x8b)
		return append(e, append(binary.BigEndian.AppendUint32(nil, math.Float32bits(float32(weight))), 0, 0, 0)...)
	}
	targets := func(n uint32) []byte {
		return append(binary.BigEndian.AppendUint32([]byte{22}, n), 1, 0, 0, 0, 1, 0, 0, 0, 0)
	}
	pool := append([]byte{19, 0, 0, 0, 0}, 0, 0, 0, 0, 0, 0, 0, 1)
	verdict := append(binary.BigEndian.AppendUint32([]byte{18, 0, 0, 0, 3}, 9), 0, 0, 10, 0, 0, 1, 0x13, 0x8b, 0, 100)
	for _, x := range []float64{0, -1, math.NaN(), math.Inf(1), 1e300} {
		odd := binary.BigEndian.AppendUint64(ask(3, 9)[:23], math.Float64bits(x))
		late := binary.BigEndian.AppendUint64(verdict[:19:19], math.Float64bits(x))
		in := batch(1000, settings, bootRecord(3, len(settings)))
		in = append(in, batch(1000, string(list(x, x)), pool, targets(3), odd, ask(3, 10))...)
		f.Add(append(in, batch(1010, "", late, killed(3))...))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if err := run(bytes.NewReader(data), io.Discard); err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("error of more than one line: %q", err)
		}
	})
}
