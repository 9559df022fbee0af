package replication

import "time"

// backupContact records when the newest read round began that all backups of the view have answered.
type backupContact struct {
	open      uint64        // the round whose answers are awaited; 0: none
	opened    time.Duration // when the open round began
	confirmed time.Duration // when the newest confirmed round began
	known     bool          // a round was confirmed
}

// begin records the start of a round. While an earlier round is open the new one is ignored, so confirmed is a lower
// bound of the last contact.
func (c *backupContact) begin(round uint64, now time.Duration) {
	if c.open == 0 {
		c.open, c.opened = round, now
	}
}

// confirm records that all backups have answered all rounds up to the given one.
func (c *backupContact) confirm(round uint64) {
	if c.open != 0 && c.open <= round {
		c.confirmed, c.known, c.open = c.opened, true, 0
	}
}

// LastBackupContact returns the time, on the clock of the inputs, up to which this primary's view is known to have been
// the newest: no view of a later epoch was decided before it, so nothing newer was acknowledged elsewhere. ok is false
// when this machine isn't a ready primary or no read round of the view has been confirmed yet. A view without backups
// needs no confirmation.
func (m *Machine) LastBackupContact() (began time.Duration, ok bool) {
	if !m.ready() {
		return 0, false
	}
	if len(m.primary.progress) == 0 {
		return m.now, true
	}
	return m.primary.contact.confirmed, m.primary.contact.known
}
