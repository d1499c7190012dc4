package origin

import (
	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/pkg/record"
)

// batch is the encoding of several origins, which state each label once.
type batch struct {
	// Builds are the labels; see Origin.Label.
	Builds []string `cbor:"1,keyasint"`
	Keys   []uint64 `cbor:"2,keyasint"`
	// Indexes are the positions in Builds of the builds of the streams in Keys.
	Indexes []uint32 `cbor:"3,keyasint"`
}

// EncodeBatch encodes the origins of several streams.
func EncodeBatch(list []Origin) ([]byte, error) {
	ba := batch{Keys: make([]uint64, 0, len(list)), Indexes: make([]uint32, 0, len(list))}
	positions := map[string]uint32{}
	for _, og := range list {
		label := og.Label()
		ix, ok := positions[label]
		if !ok {
			ix = uint32(len(ba.Builds))
			positions[label] = ix
			ba.Builds = append(ba.Builds, label)
		}
		ba.Keys = append(ba.Keys, uint64(og.Key))
		ba.Indexes = append(ba.Indexes, ix)
	}
	return record.Marshal(ba)
}

// DecodeBatch decodes what EncodeBatch has encoded.
func DecodeBatch(data []byte) ([]Origin, error) {
	var ba batch
	if err := record.Unmarshal(data, &ba); err != nil {
		return nil, eris.Wrap(err, "decode the origins of streams")
	}
	if len(ba.Keys) != len(ba.Indexes) {
		return nil, eris.Errorf("the batch has %d streams and %d builds of streams, want equal numbers", len(ba.Keys), len(ba.Indexes))
	}
	list := make([]Origin, 0, len(ba.Keys))
	for ix, key := range ba.Keys {
		if int(ba.Indexes[ix]) >= len(ba.Builds) {
			return nil, eris.Errorf("a stream names build %d of %d", ba.Indexes[ix], len(ba.Builds))
		}
		list = append(list, OfLabel(Key(key), ba.Builds[ba.Indexes[ix]]))
	}
	return list, nil
}
