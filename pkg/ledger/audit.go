package ledger

import "slices"

// maxAuditEntries limits the entries of the audit trail; beyond it the oldest are evicted.
const maxAuditEntries = 1000

// AuditEntry records one published ticket: its author, whether it was accepted, and what it changed.
//
// Offset is the offset of the log entry that contains the ticket. Number is the number of the ticket. Duplicate marks a rejected
// copy of an accepted ticket.
// Changes has one line for each object of an accepted ticket. Checksum covers the ticket without PublishedAt.
type AuditEntry struct {
	Offset       int64    `cbor:"offset" json:"offset"`
	Number       int64    `cbor:"number" json:"number"`
	Author       string   `cbor:"author" json:"author"`
	PublishedAt  string   `cbor:"publishedAt,omitempty" json:"publishedAt,omitempty"`
	Reason       string   `cbor:"reason,omitempty" json:"reason,omitempty"`
	Accepted     bool     `cbor:"accepted" json:"accepted"`
	RejectReason string   `cbor:"why,omitempty" json:"why,omitempty"`
	Duplicate    bool     `cbor:"repeats,omitempty" json:"repeats,omitempty"`
	Changes      []string `cbor:"changes,omitempty" json:"changes,omitempty"`
	Checksum     uint64   `cbor:"sum" json:"-"`
}

type auditTrail struct {
	list []AuditEntry
}

// AuditTrail returns the entries of the latest tickets in log order.
func (st *State) AuditTrail() []AuditEntry { return slices.Clone(st.audit.list) }

func (at *auditTrail) add(au AuditEntry) {
	at.list = append(at.list, au)
	if len(at.list) > maxAuditEntries {
		at.list = at.list[1:]
	}
}

// accepted returns the entry of the accepted ticket with the given number.
func (at *auditTrail) accepted(number int64) (AuditEntry, bool) {
	for ix := len(at.list) - 1; ix >= 0; ix-- {
		if at.list[ix].Number == number && at.list[ix].Accepted {
			return at.list[ix], true
		}
	}
	return AuditEntry{}, false
}
