package replication

import "time"

// backupContact remembers when the newest round of confirmations began that all backups of a view have answered.
type backupContact struct {
	open      uint64        // the round that is followed; 0: none
	opened    time.Duration // when it began
	confirmed time.Duration // when the newest confirmed one began
	known     bool          // a round was confirmed
}

// begin notes that a round began. One that is open stays so until it is confirmed: its confirmation is then a lower
// bound.
func (c *backupContact) begin(round uint64, now time.Duration) {
	if c.open == 0 {
		c.open, c.opened = round, now
	}
}

// confirm notes that all backups have answered all rounds up to one.
func (c *backupContact) confirm(round uint64) {
	if c.open != 0 && c.open <= round {
		c.confirmed, c.known, c.open = c.opened, true, 0
	}
}

// LastBackupContact returns since when this primary's view may have been superseded: up to that time, on the clock of
// the inputs, no view of a later epoch was decided, so nothing newer was acknowledged elsewhere. ok is false when this
// machine isn't a ready primary or its view has not been confirmed yet. A view without backups needs no confirmation.
func (m *Machine) LastBackupContact() (began time.Duration, ok bool) {
	if !m.ready() {
		return 0, false
	}
	if len(m.primary.progress) == 0 {
		return m.now, true
	}
	return m.primary.contact.confirmed, m.primary.contact.known
}
