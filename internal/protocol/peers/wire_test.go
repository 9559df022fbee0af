package peers

import (
	"bytes"
	"reflect"
	"testing"

	"molepaddle/internal/decide/members"
	"molepaddle/internal/goldenbytes"
	"molepaddle/internal/protocol/linkwire"
)

// The encoding of a membership message is that of agents of other versions, in both directions.
func TestWireBytes(t *testing.T) {
	m := members.Message{}
	goldenbytes.Fill(&m)
	self := members.Record{ID: members.ID{Name: "a", Incarnation: 1 << 63}, Kind: members.Self, Version: 2}
	goldenbytes.Fill(&self.Info)
	watch := members.Record{ID: self.ID, Kind: members.Suspects, Version: 3,
		Suspicions: []members.Suspicion{{Target: 1 << 63, Version: 4}}}
	orders := members.Record{ID: self.ID, Kind: members.Orders, Version: 5, Raw: "list"}
	m.Records = []members.Record{self, watch, orders}
	frame, err := Frame(&m)
	if err != nil {
		t.Fatal(err)
	}
	b, err := linkwire.Append(nil, frame)
	if err != nil {
		t.Fatal(err)
	}
	read, err := linkwire.NewReader(bytes.NewReader(goldenbytes.Check(t, "wire/members.bin", b))).Next()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Message(read.(*linkwire.News))
	if err != nil {
		t.Fatal(err)
	}
	for i := range got.Records { // received records keep their encoding
		if got.Records[i].Kind != members.Orders {
			got.Records[i].Raw = ""
		}
	}
	if !reflect.DeepEqual(got, m) {
		t.Errorf("read %+v, sent %+v", got, m)
	}
	goldenbytes.JSON(t, "event", &Event{})
}
