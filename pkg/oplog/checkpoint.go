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
	chunkBytes        = 512 << 10
	checkpointTimeout = 10 * time.Second
)

// ErrNoCheckpoint reports that the checkpoint stream holds no whole checkpoint.
var ErrNoCheckpoint = eris.New("the log holds no whole checkpoint")

// SaveCheckpoint appends the state of the replica to the checkpoint stream.
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

// LoadCheckpoint returns the newest whole checkpoint; it fails with ErrNoCheckpoint where there is none.
func LoadCheckpoint(ctx context.Context, lo Log) (*ledger.State, error) {
	as := assembler{parts: map[checkpointID]*partial{}}
	from := int64(0)
	for {
		pg, err := readChunks(ctx, lo, from)
		if err != nil {
			return nil, err
		}
		as.addPage(pg)
		from = max(pg.First, pg.From+int64(len(pg.Entries)))
		if from >= pg.Next {
			return as.newest()
		}
	}
}

func readChunks(ctx context.Context, lo Log, from int64) (Page, error) {
	rctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	pg, err := lo.Read(rctx, ReadRequest{Stream: CheckpointStream, From: from, MaxBytes: pageBytes})
	return pg, eris.Wrap(err, "read the checkpoint stream")
}

type checkpointID struct {
	offset int64
	sum    uint64
}

type partial struct {
	count int
	parts map[int][]byte
}

// assembler joins chunks, which may be repeated or come from several writers.
type assembler struct {
	parts map[checkpointID]*partial
	best  checkpointID
	data  []byte
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
	id := checkpointID{offset: ch.Offset, sum: ch.Checksum}
	if as.data != nil && id.offset <= as.best.offset {
		return
	}
	pa, ok := as.parts[id]
	if !ok {
		pa = &partial{count: ch.Count, parts: map[int][]byte{}}
		as.parts[id] = pa
	}
	if ch.Index < 0 || ch.Index >= pa.count {
		return
	}
	pa.parts[ch.Index] = ch.Data
	if len(pa.parts) == pa.count {
		as.complete(id, pa)
	}
}

func (as *assembler) complete(id checkpointID, pa *partial) {
	delete(as.parts, id)
	var data []byte
	for ix := range pa.count {
		data = append(data, pa.parts[ix]...)
	}
	if xxhash.Sum64(data) != id.sum {
		return
	}
	as.best = id
	as.data = data
}

func (as *assembler) newest() (*ledger.State, error) {
	if as.data == nil {
		return nil, ErrNoCheckpoint
	}
	return ledger.Decode(as.data)
}
