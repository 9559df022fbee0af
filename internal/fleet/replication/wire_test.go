package replication

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/goldenbytes"
)

// TestWireBytes holds the messages between control servers, and the parts of a record that a state store keeps. The
// current build must write and read them as all builds before it.
func TestWireBytes(t *testing.T) {
	goldenbytes.Messages(t, map[string]goldenbytes.Message{
		"ballot":   new(Ballot),
		"change":   new(Change),
		"id":       new(ID),
		"identity": new(Identity),
		"kind":     new(Kind),
		"member":   new(Member),
		"message":  new(Message),
		"snapshot": new(Snapshot),
		"standing": new(ReplicaState),
		"view":     new(View),
		"vote":     new(Vote),
	})
}

// TestWireNumbers holds the numbers by which messages name their kinds.
func TestWireNumbers(t *testing.T) {
	c := qt.New(t)
	for want, kind := range []Kind{
		1: KindHello, KindView, KindHeartbeat, KindHeartbeatAck, KindAppend, KindSnapshot, KindStage, KindStaged, KindPrepare,
		KindPromise, KindAccept, KindAccepted, KindReject, KindHandover, KindTransferAck, KindStageChanges,
	} {
		c.Check(int(kind), qt.Equals, want)
	}
}

// TestStoredDigest holds the digests that chain the changes of a record: servers compare theirs, and state stores keep
// them.
func TestStoredDigest(t *testing.T) {
	c := qt.New(t)
	first := ChainDigest(0, 1, []byte("first"))
	c.Check(first, qt.Equals, uint64(11815291569261870063))
	c.Check(ChainDigest(first, 2, []byte("second")), qt.Equals, uint64(6382808774689899983))
}

// TestWireRoles holds the names of roles as a status gives them to the operator.
func TestWireRoles(t *testing.T) {
	c := qt.New(t)
	for role, want := range map[Role]string{NonMember: "outside", Witness: "witness", Backup: "backup", Primary: "primary"} {
		c.Check(role.String(), qt.Equals, want)
	}
}
