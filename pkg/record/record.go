package record

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/fault"
	"github.com/clementineweir/clementineweir/pkg/ticket"
)

// Entry is one log entry; exactly one of its fields is set.
type Entry struct {
	Ticket *ticket.Ticket `cbor:"ticket,omitempty"`
	Join   *Join          `cbor:"join,omitempty"`
	Batch  *Batch         `cbor:"batch,omitempty"`
}

// Join opens an incarnation of an instance; the offset of the entry is the number of the incarnation.
//
// The joining process listens on Address before it reads the log up to Anchor. This proves that any incarnation of the
// same address that joined at or before Anchor is dead. A join with the Nonce of an earlier join is a copy and is rejected.
// Domain is the failure domain of the instance.
type Join struct {
	Nonce    string `cbor:"nonce"`
	Instance string `cbor:"instance"`
	Domain   string `cbor:"domain"`
	Address  string `cbor:"address"`
	Anchor   int64  `cbor:"anchor"`
}

// Batch holds the records that an incarnation appends in one entry. Sequence is the number of the batch among those of the
// incarnation, from one; Anchor is the last offset that the incarnation had applied when it built the batch.
type Batch struct {
	Incarnation int64    `cbor:"incarnation"`
	Sequence    int64    `cbor:"sequence"`
	Anchor      int64    `cbor:"anchor"`
	Records     []Record `cbor:"records,omitempty"`
}

// Record is one operation of an incarnation on the state. Exactly one of its fields is set; the type of that field describes
// the operation. Suspect, for example, reports content that may crash endpoints, and Close closes another incarnation.
type Record struct {
	Claim           *Claim           `cbor:"claim,omitempty"`
	Return          *Return          `cbor:"return,omitempty"`
	Settle          *Settle          `cbor:"settle,omitempty"`
	Intent          *Intent          `cbor:"intent,omitempty"`
	Outcome         *Outcome         `cbor:"outcome,omitempty"`
	Suspect         *Suspect         `cbor:"suspect,omitempty"`
	ClearSuspect    *ClearSuspect    `cbor:"acquit,omitempty"`
	Close           *Close           `cbor:"close,omitempty"`
	Leave           *Leave           `cbor:"leave,omitempty"`
	CheckpointSaved *CheckpointSaved `cbor:"saved,omitempty"`
}

// Claim requests a larger grant.
//
// Need is the number of tokens that requests need now. If fewer are free, those are granted and the missing ones are
// queued. Want includes a reserve for later demand. Tokens beyond Need are granted only up to Want and up to an equal share
// of the free tokens for each open incarnation; they are never queued.
type Claim struct {
	Budget string `cbor:"budget"`
	Need   int64  `cbor:"need,omitempty"`
	Want   int64  `cbor:"want,omitempty"`
}

// Return returns unspent tokens of a grant to the budget.
type Return struct {
	Budget string `cbor:"budget"`
	Tokens int64  `cbor:"tokens"`
}

// Settle books the costs of finished requests and replaces the incarnation's ceiling for the budget. WrittenOff is the number
// of tokens that count as spent but are on no bill.
type Settle struct {
	Budget     string  `cbor:"budget"`
	Bills      []Bill  `cbor:"bills,omitempty"`
	WrittenOff int64   `cbor:"writtenOff,omitempty"`
	Ceiling    Ceiling `cbor:"ceiling"`
}

// Bill charges the tokens of one request. Key identifies the request: its idempotency key if it has one, otherwise its ID.
//
// Deduplicate is set if the caller may retry with the same key: only the first bill of the key is charged, further ones are
// written off. It is encoded as "kept", because the ledger keeps the keys of such bills.
type Bill struct {
	Key         string `cbor:"key"`
	Tokens      int64  `cbor:"tokens"`
	Deduplicate bool   `cbor:"kept,omitempty"`
}

// Ceiling is an upper bound on the sum of the tokens that a holder has spent and reserved. It depends on the time since the
// holder's last accepted batch: it is Base until Delay has passed, and then rises by TokensPerSecond.
//
// It limits the tokens that count as spent if the holder dies before it settles; see Close.
type Ceiling struct {
	Base            int64         `cbor:"base"`
	TokensPerSecond int64         `cbor:"tokensPerSecond,omitempty"`
	Delay           time.Duration `cbor:"delay,omitempty"`
}

// At returns the ceiling in tokens after the given time without an accepted batch.
func (ce Ceiling) At(elapsed time.Duration) int64 {
	rising := max(0, elapsed-ce.Delay)
	seconds := int64(rising / time.Second)
	fraction := int64(rising % time.Second)
	return ce.Base + ce.TokensPerSecond*seconds + ce.TokensPerSecond*fraction/int64(time.Second)
}

// Intent reserves Key, the idempotency key of a non-idempotent request before the request is dispatched. A later request with the
// same key but another ContentHash is refused.
type Intent struct {
	Key         string `cbor:"key"`
	ContentHash string `cbor:"contentHash"`
}

// Outcome resolves the intent for the idempotency key Key and stores the response for retries. The verdict NotRun frees the key
// again. Complete is set if Body holds the whole body; it is not set if the request failed or the body is too large to be stored.
type Outcome struct {
	Key         string        `cbor:"key"`
	Verdict     fault.Verdict `cbor:"verdict"`
	Status      int           `cbor:"status,omitempty"`
	ContentType string        `cbor:"contentType,omitempty"`
	Body        []byte        `cbor:"body,omitempty"`
	Complete    bool          `cbor:"complete,omitempty"`
}

// Suspect records that a request with this content hash was running on the endpoint when the endpoint crashed.
type Suspect struct {
	ContentHash string `cbor:"contentHash"`
	Endpoint    string `cbor:"endpoint"`
}

// ClearSuspect records that a request with suspected content received a complete response.
type ClearSuspect struct {
	ContentHash string `cbor:"contentHash"`
}

// Close closes another incarnation, whose process is proven dead. If Elapsed is negative, no bound is known and the whole
// grant counts as spent.
type Close struct {
	// Incarnation is the number of the incarnation to close.
	Incarnation int64 `cbor:"incarnation"`
	// Elapsed is the longest time that the process may have run since it read the entry at its last anchor, or negative.
	Elapsed time.Duration `cbor:"elapsed"`
}

// Leave closes the incarnation that appends it. It is the incarnation's last record.
type Leave struct{}

// CheckpointSaved records that the checkpoint stream contains a checkpoint of the state at the log offset Offset.
type CheckpointSaved struct {
	Offset int64 `cbor:"offset"`
}

// CheckpointChunk is one part of a checkpoint of the state at the log offset Offset. Index is the position of the part among the
// Count parts of the checkpoint; Checksum covers the data of all parts.
type CheckpointChunk struct {
	Offset   int64  `cbor:"offset"`
	Index    int    `cbor:"index"`
	Count    int    `cbor:"count"`
	Checksum uint64 `cbor:"sum"`
	Data     []byte `cbor:"data"`
}
