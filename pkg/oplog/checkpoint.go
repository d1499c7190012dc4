package oplog

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/pkg/ledger"
	"github.com/clementineweir/clementineweir/pkg/record"
)

const (
	// chunkBytes is the maximum size of the data of one checkpoint chunk.
	chunkBytes = 512 << 10
	// checkpointTimeout bounds each call to the log that reads or appends chunks.
	checkpointTimeout = 10 * time.Second
)

// ErrNoCheckpoint is returned if the checkpoint stream contains no complete checkpoint.
var ErrNoCheckpoint = eris.New("the checkpoint stream contains no complete checkpoint")

// SaveCheckpoint appends the state of the replica to the checkpoint stream in chunks and returns the offset of the state.
func SaveCheckpoint(ctx context.Context, lo Log, re *Replica) (int64, error) {
	offset, data, err := re.Encode()
	if err != nil {
		return 0, err
	}
	sum := xxhash.Sum64(data)
	count := (len(data) + chunkBytes - 1) / chunkBytes
	for ix := range count {
		part := data[ix*chunkBytes : min((ix+1)*chunkBytes, len(data))]
		ch := record.CheckpointChunk{Offset: offset, Index: ix, Count: count, Checksum: sum, Data: part}
		if err := appendChunk(ctx, lo, ch); err != nil {
			return 0, err
		}
	}
	return offset, nil
}

func appendChunk(ctx context.Context, lo Log, ch record.CheckpointChunk) error {
	enc, err := record.EncodeCheckpointChunk(ch)
	if err != nil {
		return err
	}
	actx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	_, err = lo.Append(actx, CheckpointStream, enc)
	return eris.Wrap(err, "append a checkpoint chunk")
}

// LoadCheckpoint returns the state of the newest complete checkpoint; it fails with ErrNoCheckpoint if there is none.
func LoadCheckpoint(ctx context.Context, lo Log) (*ledger.State, error) {
	as := assembler{partials: map[checkpointID]*partialCheckpoint{}}
	from := int64(0)
	for {
		pg, err := readChunks(ctx, lo, from)
		if err != nil {
			return nil, err
		}
		as.addPage(pg)
		from = max(pg.First, pg.From+int64(len(pg.Entries)))
		if from >= pg.Next {
			return as.newestState()
		}
	}
}

func readChunks(ctx context.Context, lo Log, from int64) (Page, error) {
	rctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	pg, err := lo.Read(rctx, ReadRequest{Stream: CheckpointStream, From: from, MaxBytes: pageBytes})
	return pg, eris.Wrap(err, "read the checkpoint stream")
}

// checkpointID identifies a checkpoint by the offset and the checksum of its state.
type checkpointID struct {
	offset   int64
	checksum uint64
}

// partialCheckpoint collects the chunks of one checkpoint by index.
type partialCheckpoint struct {
	count int
	parts map[int][]byte
}

// assembler puts checkpoints together from their chunks and keeps the newest complete checkpoint.
//
// Chunks may be repeated, and those of several writers may be interleaved.
type assembler struct {
	partials   map[checkpointID]*partialCheckpoint
	newestID   checkpointID
	newestData []byte
}

func (as *assembler) addPage(pg Page) {
	for _, raw := range pg.Entries {
		ch, err := record.DecodeCheckpointChunk(raw)
		if err != nil {
			continue
		}
		as.add(ch)
	}
}

func (as *assembler) add(ch record.CheckpointChunk) {
	id := checkpointID{offset: ch.Offset, checksum: ch.Checksum}
	if as.newestData != nil && id.offset <= as.newestID.offset {
		return
	}
	pa, ok := as.partials[id]
	if !ok {
		pa = &partialCheckpoint{count: ch.Count, parts: map[int][]byte{}}
		as.partials[id] = pa
	}
	if ch.Index < 0 || ch.Index >= pa.count {
		return
	}
	pa.parts[ch.Index] = ch.Data
	if len(pa.parts) == pa.count {
		as.complete(id, pa)
	}
}

func (as *assembler) complete(id checkpointID, pa *partialCheckpoint) {
	delete(as.partials, id)
	var data []byte
	for ix := range pa.count {
		data = append(data, pa.parts[ix]...)
	}
	if xxhash.Sum64(data) != id.checksum {
		return
	}
	as.newestID = id
	as.newestData = data
}

func (as *assembler) newestState() (*ledger.State, error) {
	if as.newestData == nil {
		return nil, ErrNoCheckpoint
	}
	return ledger.Decode(as.newestData)
}
