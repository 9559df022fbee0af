package fcgi

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"io"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Some records match bytes derived from the specification.
func TestRecordsAgainstWorkedOutBytes(t *testing.T) {
	var out []byte
	out = AppendBegin(out, 0x0102, Begin{Role: Responder, Keep: true})
	out = Append(out, Params, 1, AppendPair(AppendPair(nil, "A", "bc"), "N", strings.Repeat("x", 128)))
	out = Append(out, Stdin, 1, nil)
	out = AppendEnd(out, 1, End{App: 0xdeadbeef, Status: Overloaded})
	out = AppendUnknown(out, 77)
	want := "0101010200080000" + "0001010000000000" +
		"01040001008b0500" + "0102" + "41" + "6263" + "01" + "80000080" + "4e" + strings.Repeat("78", 128) + "0000000000" +
		"0105000100000000" +
		"0103000100080000" + "deadbeef02000000" +
		"010b000000080000" + "4d00000000000000"
	if got := hex.EncodeToString(out); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

// Streams are read back unchanged, through any buffer and in pieces of any size.
func TestStreamsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 0, 200_000).Draw(t, "data")
		id, size := rapid.Uint16().Draw(t, "id"), rapid.IntRange(16, 70_000).Draw(t, "buffer")
		raw := Append(AppendStream(nil, Stdout, id, data), Stdout, id, nil)
		r := NewReader(bufio.NewReaderSize(bytes.NewReader(raw), size))
		var got []byte
		for {
			h, err := r.Next()
			if err != nil || h.Type != Stdout || h.ID != id {
				t.Fatalf("%+v, %v", h, err)
			}
			if h.Length == 0 {
				break
			}
			if rapid.IntRange(0, 9).Draw(t, "skip") == 0 { // skip a part of the content
				part := make([]byte, min(h.Length, 3))
				if _, err := io.ReadFull(r, part); err != nil {
					t.Fatal(err)
				}
				if !bytes.HasPrefix(data[len(got):], part) {
					t.Fatal("other bytes")
				}
				got = append(got, data[len(got):len(got)+h.Length]...)
				continue
			}
			part, err := io.ReadAll(r)
			if err != nil || len(part) != h.Length {
				t.Fatal(len(part), err)
			}
			got = append(got, part...)
		}
		if _, err := r.Next(); err != io.EOF || !bytes.Equal(got, data) {
			t.Fatalf("%v, %d bytes of %d", err, len(got), len(data))
		}
	})
}

// Pairs are read back unchanged; a cut anywhere but between two pairs is an error.
func TestPairsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(0, -1, 300)
		type pair struct{ name, value string }
		var pairs []pair
		var raw []byte
		ends := map[int]bool{0: true}
		for range rapid.IntRange(0, 6).Draw(t, "pairs") {
			p := pair{text.Draw(t, "name"), text.Draw(t, "value")}
			pairs, raw = append(pairs, p), AppendPair(raw, p.name, p.value)
			ends[len(raw)] = true
		}
		cut := rapid.IntRange(0, len(raw)).Draw(t, "cut")
		rest := raw[:cut]
		for i := 0; len(rest) > 0; i++ {
			name, value, next, err := NextPair(rest)
			if err != nil {
				if ends[cut] {
					t.Fatal(err)
				}
				return
			}
			if (pair{string(name), string(value)}) != pairs[i] {
				t.Fatalf("%q=%q", name, value)
			}
			rest = next
		}
		if !ends[cut] {
			t.Fatal("a cut pair was taken for whole")
		}
	})
}

// Input that ends within a record is distinguished from input that ends after one; nothing is read past a record of
// another version.
func TestEnds(t *testing.T) {
	raw := Append(nil, Stdin, 1, []byte("hello"))
	for n := range len(raw) {
		r := NewReader(bufio.NewReader(bytes.NewReader(raw[:n])))
		_, err := r.Next()
		if err == nil {
			_, err = r.Next()
		}
		if want := map[bool]error{true: io.EOF, false: io.ErrUnexpectedEOF}[n == 0]; err != want {
			t.Errorf("%d bytes: %v", n, err)
		}
	}
	if _, err := NewReader(bufio.NewReader(strings.NewReader("GET / HTTP/1.1\r\n"))).Next(); err != ErrVersion {
		t.Error(err)
	}
	for n := range 12 {
		if _, err := ParseBegin(make([]byte, n)); (err == nil) != (n == 8) {
			t.Errorf("BEGIN_REQUEST of %d bytes: %v", n, err)
		}
		if _, err := ParseEnd(make([]byte, n)); (err == nil) != (n == 8) {
			t.Errorf("END_REQUEST of %d bytes: %v", n, err)
		}
	}
}

func TestNoAllocationARecord(t *testing.T) {
	raw := bytes.Repeat(Append(nil, Stdout, 1, make([]byte, 1000)), 100)
	from, buf, out := bytes.NewReader(raw), make([]byte, 500), make([]byte, 0, 2000)
	b := bufio.NewReader(from)
	r := NewReader(b)
	if n := testing.AllocsPerRun(20, func() {
		from.Reset(raw)
		b.Reset(from)
		r.Reset(b)
		for {
			if _, err := r.Next(); err != nil {
				return
			}
			r.Read(buf)
			out = Append(out[:0], Stdout, 1, buf)
		}
	}); n > 0 {
		t.Errorf("%v allocations for 100 records", n)
	}
}

// For any input reading ends, and no pair reaches beyond the input.
func FuzzReader(f *testing.F) {
	f.Add(AppendEnd(AppendStream(AppendBegin(nil, 1, Begin{Role: Responder}), Stdin, 1, []byte("body")), 1, End{}))
	f.Add(AppendPair(AppendPair(nil, "FCGI_MAX_CONNS", ""), "B", strings.Repeat("v", 200)))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := NewReader(bufio.NewReaderSize(bytes.NewReader(raw), 16))
		for n := 0; ; n++ {
			h, err := r.Next()
			if err != nil {
				break
			}
			if n > len(raw)/HeaderLen {
				t.Fatal("more records than bytes")
			}
			if part, _ := io.ReadAll(r); len(part) > h.Length {
				t.Fatal("more content than told")
			}
		}
		for rest := raw; len(rest) > 0; {
			name, value, next, err := NextPair(rest)
			if err != nil {
				break
			}
			if len(next) >= len(rest) || len(name)+len(value)+len(next) > len(rest) {
				t.Fatal("a pair reaches beyond its stream")
			}
			rest = next
		}
	})
}
