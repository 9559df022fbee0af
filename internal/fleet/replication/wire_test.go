package replication

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/goldenbytes"
)

// TestWireBytes checks the encoding of the messages between control servers and of the values in a state store. The
// current build must write and read them in the same format as all earlier builds.
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

// TestWireNumbers checks the numbers of the message kinds on the wire.
func TestWireNumbers(t *testing.T) {
	c := qt.New(t)
	for want, kind := range []Kind{
		1: KindHello, KindView, KindHeartbeat, KindHeartbeatAck, KindAppend, KindSnapshot, KindStage, KindStaged, KindPrepare,
		KindPromise, KindAccept, KindAccepted, KindReject, KindHandover, KindTransferAck, KindStageChanges,
	} {
		c.Check(int(kind), qt.Equals, want)
	}
}

// TestStoredDigest checks the values of the digests that chain the changes of the replicated log: servers compare
// them, and state stores keep them.
func TestStoredDigest(t *testing.T) {
	c := qt.New(t)
	first := ChainDigest(0, 1, []byte("first"))
	c.Check(first, qt.Equals, uint64(11815291569261870063))
	c.Check(ChainDigest(first, 2, []byte("second")), qt.Equals, uint64(6382808774689899983))
}

// TestWireRoles checks the names of roles in the status that operators see.
func TestWireRoles(t *testing.T) {
	c := qt.New(t)
	for role, want := range map[Role]string{NonMember: "outside", Witness: "witness", Backup: "backup", Primary: "primary"} {
		c.Check(role.String(), qt.Equals, want)
	}
}
