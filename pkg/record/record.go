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

// Join opens an incarnation, which is numbered by the offset of this entry.
//
// The writer listens on Address before it reads the log up to Anchor, so an earlier incarnation
// of that address that it read is proved dead.
type Join struct {
	Nonce    string `cbor:"nonce"`
	Instance string `cbor:"instance"`
	Domain   string `cbor:"domain"`
	Address  string `cbor:"address"`
	Anchor   int64  `cbor:"anchor"`
}

// Batch is a sequence of records that an incarnation appends at once; Anchor is the greatest offset that its writer had read.
type Batch struct {
	Incarnation int64    `cbor:"incarnation"`
	Sequence    int64    `cbor:"sequence"`
	Anchor      int64    `cbor:"anchor"`
	Records     []Record `cbor:"records,omitempty"`
}

// Record is one statement of an incarnation; exactly one of its fields is set.
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

// Claim asks for a larger grant: Need tokens as soon as they are free, and up to Want tokens from a plentiful budget.
type Claim struct {
	Budget string `cbor:"budget"`
	Need   int64  `cbor:"need,omitempty"`
	Want   int64  `cbor:"want,omitempty"`
}

// Return gives back tokens of a grant that the holder will not spend.
type Return struct {
	Budget string `cbor:"budget"`
	Tokens int64  `cbor:"tokens"`
}

// Settle reports finished requests and replaces the ceiling schedule of the budget.
type Settle struct {
	Budget     string  `cbor:"budget"`
	Bills      []Bill  `cbor:"bills,omitempty"`
	WrittenOff int64   `cbor:"writtenOff,omitempty"`
	Ceiling    Ceiling `cbor:"ceiling"`
}

// Bill charges the tokens of one answered request; Kept marks a key that the caller may send again.
type Bill struct {
	Key         string `cbor:"key"`
	Tokens      int64  `cbor:"tokens"`
	Deduplicate bool   `cbor:"kept,omitempty"`
}

// Ceiling bounds what a holder has spent and reserved, as a function of the time since its last accepted batch.
type Ceiling struct {
	Base            int64         `cbor:"base"`
	TokensPerSecond int64         `cbor:"tokensPerSecond,omitempty"`
	Delay           time.Duration `cbor:"delay,omitempty"`
}

// At returns the ceiling in tokens after the given time without an accepted batch.
func (ce Ceiling) At(elapsed time.Duration) int64 {
	late := max(0, elapsed-ce.Delay)
	whole := int64(late / time.Second)
	part := int64(late % time.Second)
	return ce.Base + ce.TokensPerSecond*whole + ce.TokensPerSecond*part/int64(time.Second)
}

// Intent reserves the key of a non-idempotent request before it is dispatched.
type Intent struct {
	Key         string `cbor:"key"`
	ContentHash string `cbor:"contentHash"`
}

// Outcome resolves an intent; with the verdict NotRun the key is free again.
type Outcome struct {
	Key         string        `cbor:"key"`
	Verdict     fault.Verdict `cbor:"verdict"`
	Status      int           `cbor:"status,omitempty"`
	ContentType string        `cbor:"contentType,omitempty"`
	Body        []byte        `cbor:"body,omitempty"`
	Complete    bool          `cbor:"complete,omitempty"`
}

// Suspect states that a request with this content was running when the endpoint crashed.
type Suspect struct {
	ContentHash string `cbor:"contentHash"`
	Endpoint    string `cbor:"endpoint"`
}

// ClearSuspect states that a suspected content was answered whole.
type ClearSuspect struct {
	ContentHash string `cbor:"contentHash"`
}

// Close closes another incarnation whose process is proved dead; Elapsed bounds the time since it read its last anchor, and is negative where no bound is known.
type Close struct {
	Incarnation int64         `cbor:"incarnation"`
	Elapsed     time.Duration `cbor:"elapsed"`
}

// Leave closes the incarnation that writes it, after its last settlement.
type Leave struct{}

// CheckpointSaved states that the checkpoint stream holds the state folded up to Offset.
type CheckpointSaved struct {
	Offset int64 `cbor:"offset"`
}

// CheckpointChunk is one part of a checkpoint of the state folded up to Offset.
type CheckpointChunk struct {
	Offset   int64  `cbor:"offset"`
	Index    int    `cbor:"index"`
	Count    int    `cbor:"count"`
	Checksum uint64 `cbor:"sum"`
	Data     []byte `cbor:"data"`
}
