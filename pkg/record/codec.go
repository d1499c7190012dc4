package record

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Version is the encoding version that this code writes and reads.
const Version = 1

// The header is the magic string, one byte of version and a checksum of the body; maxNesting and maxElements limit
// what the decoder accepts.
const (
	maxNesting     = 16
	maxElements    = 1 << 20
	checksumBytes  = 8
	headerBytes    = len(magic) + 1 + checksumBytes
	magic          = "cwr"
	versionOffset  = len(magic)
	checksumOffset = versionOffset + 1
)

// Errors of the decoder.
var (
	// ErrForeign is returned for an entry without the header of this system.
	ErrForeign = eris.New("the log entry was not written by this system: its header is missing")
	// ErrVersion is returned for an entry that this code cannot decode, because its version or a field is unknown.
	ErrVersion = eris.New("the log entry has an unknown version or field")
	// ErrCorrupt is returned for an entry whose checksum does not match.
	ErrCorrupt = eris.New("the log entry is damaged: its checksum does not match")
)

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

// EncodeEntry returns the canonical encoding of an entry.
func EncodeEntry(en Entry) ([]byte, error) { return encode(en) }

// DecodeEntry decodes an entry; it fails with ErrForeign, ErrVersion or ErrCorrupt.
func DecodeEntry(data []byte) (Entry, error) {
	var en Entry
	err := decode(data, &en)
	return en, err
}

// EncodeCheckpointChunk returns the canonical encoding of a checkpoint chunk.
func EncodeCheckpointChunk(ch CheckpointChunk) ([]byte, error) { return encode(ch) }

// DecodeCheckpointChunk decodes a checkpoint chunk; it fails with ErrForeign, ErrVersion or ErrCorrupt.
func DecodeCheckpointChunk(data []byte) (CheckpointChunk, error) {
	var ch CheckpointChunk
	err := decode(data, &ch)
	return ch, err
}

// Marshal returns the canonical encoding of a value without a header.
func Marshal(val any) ([]byte, error) { return encMode.Marshal(val) }

// Unmarshal decodes a value encoded by Marshal; it fails on unknown fields.
func Unmarshal(data []byte, val any) error { return decMode.Unmarshal(data, val) }

func encode(val any) ([]byte, error) {
	var buf bytes.Buffer
	buf.WriteString(magic)
	buf.WriteByte(Version)
	buf.Write(make([]byte, checksumBytes))
	if err := encMode.NewEncoder(&buf).Encode(val); err != nil {
		return nil, eris.Wrap(err, "encode a record")
	}
	data := buf.Bytes()
	binary.BigEndian.PutUint64(data[checksumOffset:headerBytes], xxhash.Sum64(data[headerBytes:]))
	return data, nil
}

func decode(data []byte, val any) error {
	if len(data) < headerBytes || string(data[:len(magic)]) != magic {
		return ErrForeign
	}
	if data[versionOffset] != Version {
		return ErrVersion
	}
	sum := binary.BigEndian.Uint64(data[checksumOffset:headerBytes])
	if sum != xxhash.Sum64(data[headerBytes:]) {
		return ErrCorrupt
	}
	if err := decMode.Unmarshal(data[headerBytes:], val); err != nil {
		return eris.Wrap(ErrVersion, err.Error())
	}
	return nil
}

func newEncMode() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.NilContainers = cbor.NilContainerAsEmpty
	em, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return em
}

func newDecMode() cbor.DecMode {
	dm, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		IndefLength:       cbor.IndefLengthForbidden,
		MaxNestedLevels:   maxNesting,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return dm
}
