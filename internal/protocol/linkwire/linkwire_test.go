package linkwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
)

var lease = Lease{Incarnation: 7, Quote: 1000, Begin: 10, Life: 2000}

// frames returns frames of most kinds, some of them at the limits of their fields.
func frames() []Frame {
	return []Frame{
		&Hello{Magic: Magic, MinVersion: 1, MaxVersion: 1, Name: "gw-a", Incarnation: 9, Crossings: 10, Bytes: 1 << 20,
			Now: 5, Draining: true},
		&Beat{Now: 5, Echo: 4, EchoAge: 3, Open: 2, Draining: true},
		&Offer{Number: 1, Lease: lease, MaxAttempts: 3, Class: "order", Effect: "single_shot", Tenant: "acme",
			Key: 1 << 63, HintUs: 5, Retry: true,
			ID: "id", Method: "POST", Target: "/" + strings.Repeat("t", MaxTarget-1), Host: "h", ContentType: "x/y",
			IdempotencyKey: "k", Size: MaxBody, Body: make([]byte, MaxPart)},
		&Part{Number: 1, Body: []byte("more")}, &Fence{Number: 1, Lease: lease}, &Cancel{Number: 1, Lease: lease},
		&Ended{Number: 1, Result: Served, Attempts: 2, RetryUs: 3, ContentType: "x", Size: 2, Body: []byte("ok")},
		&Never{Number: 1, Reason: ReasonCancelled, Attempts: 1, RetryUs: 2}, &Begun{Number: 1}, &Unsure{Number: 1},
		&Drain{},
		&Ack{Numbers: []uint64{1, 2, 3}}, &Bye{Text: "bad"},
		&News{Digest: 1 << 63, Sums: make([]uint64, 32), Mask: 1 << 31, Heads: []Head{{Key: 1 << 63, Version: 2}},
			Want:    []uint64{7},
			Records: []Entry{{Name: "a", Incarnation: 1, Subject: 1, Version: 2, Body: make([]byte, MaxRecordBody)}}},
	}
}

func TestThereAndBack(t *testing.T) {
	var buf []byte
	var err error
	for _, f := range frames() {
		if buf, err = Append(buf, f); err != nil {
			t.Fatalf("%T: %v", f, err)
		}
	}
	r := NewReader(bytes.NewReader(buf))
	for _, want := range frames() {
		got, err := r.Next()
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("%T: %+v, %v", want, got, err)
		}
	}
	if _, err := r.Next(); err != io.EOF {
		t.Errorf("at the end: %v", err)
	}
	// Cut within a frame, the input has no clean end.
	for at := range len(buf) {
		r := NewReader(bytes.NewReader(buf[:at]))
		var err error
		for err == nil {
			_, err = r.Next()
		}
		if err != io.EOF && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("cut at %d: %v", at, err)
		}
	}
}

// Frames with fields out of bounds are rejected by Append and by Decode.
func TestBounds(t *testing.T) {
	offer := func(change func(*Offer)) *Offer {
		f := *frames()[2].(*Offer)
		change(&f)
		return &f
	}
	for name, f := range map[string]Frame{
		"magic":            &Hello{Magic: "other", MinVersion: 1, MaxVersion: 1, Name: "a", Incarnation: 1},
		"versions":         &Hello{Magic: Magic, MinVersion: 2, MaxVersion: 1, Name: "a", Incarnation: 1},
		"no incarnation":   &Hello{Magic: Magic, MinVersion: 1, MaxVersion: 1, Name: "a"},
		"no name":          &Hello{Magic: Magic, MinVersion: 1, MaxVersion: 1, Incarnation: 1},
		"clock":            &Beat{Now: 1 << 61},
		"number 0":         &Begun{},
		"number too large": &Fence{Number: 1 << 63, Lease: lease},
		"lease":            &Cancel{Number: 1, Lease: Lease{Begin: 2, Life: 1}},
		"life":             &Fence{Number: 1, Lease: Lease{Life: MaxTime + 1}},
		"size":             offer(func(f *Offer) { f.Size = MaxBody + 1 }),
		"part":             offer(func(f *Offer) { f.Body = make([]byte, MaxPart+1) }),
		"body over size":   offer(func(f *Offer) { f.Size = 3 }),
		"no body":          offer(func(f *Offer) { f.Body = nil }),
		"no id":            offer(func(f *Offer) { f.ID = "" }),
		"long id":          offer(func(f *Offer) { f.ID = strings.Repeat("x", MaxText+1) }),
		"line break":       offer(func(f *Offer) { f.Host = "a\r\nb" }),
		"target":           offer(func(f *Offer) { f.Target = "/" + strings.Repeat("x", MaxTarget) }),
		"tries":            offer(func(f *Offer) { f.MaxAttempts = 1 << 20 }),
		"result":           &Ended{Number: 1, Result: 3},
		"why":              &Never{Number: 1, Reason: 7},
		"empty part":       &Part{Number: 1},
		"acks":             &Ack{Numbers: make([]uint64, MaxAcks+1)},
		"ack of 0":         &Ack{Numbers: []uint64{0}},
		"long bye":         &Bye{Text: strings.Repeat("x", 2000)},
	} {
		if _, err := Append(nil, f); err == nil {
			t.Errorf("%s is written", name)
		}
		text, err := enc.Marshal(f)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(f.Kind(), text); err == nil {
			t.Errorf("%s is read", name)
		}
	}
	if _, err := Decode(99, nil); err == nil {
		t.Error("a kind that is not known is read")
	}
	// A length of 4 GB is rejected before a buffer is allocated.
	r := NewReader(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 1}))
	if _, err := r.Next(); err == nil || cap(r.buf) != 0 {
		t.Errorf("%v, holds %d bytes", err, cap(r.buf))
	}
	if _, err := NewReader(bytes.NewReader(make([]byte, 8))).Next(); err == nil {
		t.Error("an empty frame is read")
	}
}

// An answer is written in parts that add up to its body.
func TestItem(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789"), 5000)
	item := (&Ended{Number: 4, ContentType: "x", Size: uint64(len(body)), Body: body}).Item()
	var buf, got []byte
	parts := 0
	for more := true; more; parts++ {
		buf, more = item(buf)
	}
	for r := NewReader(bytes.NewReader(buf)); ; {
		f, err := r.Next()
		if err != nil {
			break
		}
		switch f := f.(type) {
		case *Ended:
			got = append(got, f.Body...)
		case *Part:
			got = append(got, f.Body...)
		}
	}
	if !bytes.Equal(got, body) || parts != 4 {
		t.Errorf("%d of %d bytes in %d parts", len(got), len(body), parts)
	}
}

// Whatever the input, a Reader neither panics nor buffers more than its limit, and each frame that it
// reads can be encoded again.
func FuzzReader(f *testing.F) {
	for _, x := range frames() {
		buf, _ := Append(nil, x)
		f.Add(buf)
	}
	f.Add([]byte{0, 0, 0, 3, 9, 0x9f, 0xff})
	f.Fuzz(func(t *testing.T, text []byte) {
		r := NewReader(bytes.NewReader(text))
		for {
			x, err := r.Next()
			if cap(r.buf) > MaxFrame+1 {
				t.Fatalf("it holds %d bytes", cap(r.buf))
			}
			if err != nil {
				return
			}
			buf, err := Append(nil, x)
			if err != nil {
				t.Fatalf("%+v was read and can't be written: %v", x, err)
			}
			if n := binary.BigEndian.Uint32(buf); int(n) != len(buf)-4 {
				t.Fatalf("length %d of %d", n, len(buf))
			}
			again, err := Decode(Kind(buf[4]), buf[5:])
			if err != nil || !reflect.DeepEqual(again, x) {
				t.Fatalf("%+v became %+v, %v", x, again, err)
			}
		}
	})
}
