package ledger

import "slices"

// maxAudit bounds how many tickets the audit trail in the state keeps.
const maxAudit = 1000

// AuditEntry is one line of the audit trail: a ticket, whether it was accepted, and what it changed.
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

// AuditTrail returns the latest tickets in the order of the log.
func (st *State) AuditTrail() []AuditEntry { return slices.Clone(st.audit.list) }

func (at *auditTrail) add(au AuditEntry) {
	at.list = append(at.list, au)
	if len(at.list) > maxAudit {
		at.list = at.list[1:]
	}
}

func (at *auditTrail) accepted(number int64) (AuditEntry, bool) {
	for ix := len(at.list) - 1; ix >= 0; ix-- {
		if at.list[ix].Number == number && at.list[ix].Accepted {
			return at.list[ix], true
		}
	}
	return AuditEntry{}, false
}
