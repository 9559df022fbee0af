package distribution

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/goldenbytes"
)

// TestWireBytes checks the golden files of the messages between the fleet's processes. The current build must encode
// and decode them like all builds before it.
func TestWireBytes(t *testing.T) {
	goldenbytes.Messages(t, map[string]goldenbytes.Message{
		"backend":        new(Backend),
		"change":         new(Change),
		"core":           new(ControlServers),
		"crowd":          new(MembershipSize),
		"ejection":       new(Ejection),
		"ejections":      new(Ejections),
		"gauges":         new(LoadReport),
		"list":           new(BackendList),
		"member":         new(Member),
		"outcome":        new(Outcome),
		"outcome-report": new(OutcomeReport),
		"request":        new(Request),
		"resource":       new(Resource),
		"response":       new(Response),
		"version":        new(Version),
	})
}

// TestWireBytesOfFrame checks the frame header: the message's length in four bytes, big-endian.
func TestWireBytesOfFrame(t *testing.T) {
	c := qt.New(t)
	var b bytes.Buffer
	c.Assert(WriteFrame(&b, &Version{Epoch: 3, Count: 300}), qt.IsNil)
	c.Check(b.Bytes(), qt.DeepEquals, []byte("\x00\x00\x00\x09\x82\xa1e\x03\xa1n\xcd\x01\x2c"))
}

// TestWireNames checks the resource types and the phase in messages.
func TestWireNames(t *testing.T) {
	c := qt.New(t)
	c.Check([]string{ConfigType, BackendListType, MembershipSizeType, ControlServersType, LoadReportType, EjectionsType}, qt.DeepEquals,
		[]string{"config", "list", "crowd", "core", "gauges", "ejections"})
	c.Check(PhaseChanging, qt.Equals, "changing")
}

// TestWirePorts checks the processes' ports, as offsets from the first port of the settings' range.
func TestWirePorts(t *testing.T) {
	c := qt.New(t)
	ports := [2]int{7720, 7735}
	c.Check([]string{CoreAddr("10.0.0.1", ports), PullAddr("10.0.0.1", ports), NodeAgentAddr(ports)}, qt.DeepEquals,
		[]string{"10.0.0.1:7720", "10.0.0.1:7721", "127.0.0.1:7722"})
}

// TestLogBytesOfEjections checks the keys of the ejections that a control server logs. The type has no JSON tags: the
// keys are the names of its Go fields.
func TestLogBytesOfEjections(t *testing.T) {
	c := qt.New(t)
	ejected := make([]Ejection, 1)
	goldenbytes.Fill(&ejected[0])
	b, err := json.Marshal(ejected)
	c.Assert(err, qt.IsNil)
	goldenbytes.Check(t, "wire/ejections.log.json", append(b, '\n'))
}

// TestWireBytesWithoutDraining checks the messages of releases before the draining fields. They are decoded, and
// encoded as the same bytes while no process is draining.
func TestWireBytesWithoutDraining(t *testing.T) {
	for name, m := range map[string]goldenbytes.Message{
		"crowd":   new(MembershipSize),
		"member":  new(Member),
		"request": new(Request),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			old, err := os.ReadFile(filepath.Join("testdata", "wire", name+".without-draining.msgp"))
			c.Assert(err, qt.IsNil)
			rest, err := m.UnmarshalMsg(old)
			c.Assert(err, qt.IsNil)
			c.Assert(rest, qt.HasLen, 0)
			written, err := m.MarshalMsg(nil)
			c.Assert(err, qt.IsNil)
			c.Assert(written, qt.DeepEquals, old)
		})
	}
}
