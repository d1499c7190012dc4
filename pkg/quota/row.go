package quota

import (
	"strings"
	"time"

	"github.com/clementineweir/clementineweir/pkg/keyed"
	"github.com/clementineweir/clementineweir/pkg/record"
)

// rowPrefix begins the keys of rows.
const rowPrefix = "grant/"

// Row is what the topic holds about one team at one instance; all amounts are in tokens.
type Row struct {
	// Granted bounds what this and all earlier lives of the instance spend.
	Granted int64 `cbor:"1,keyasint"`
	// Base, Rate and Delay, with Burst and BurstDelay, are the ceiling on what was spent and reserved, by the time since Wall and Boot.
	Base  int64         `cbor:"2,keyasint"`
	Rate  int64         `cbor:"3,keyasint"`
	Delay time.Duration `cbor:"4,keyasint"`
	// Spent is what finished requests have cost.
	Spent int64 `cbor:"5,keyasint"`
	// Demand is the present spending in tokens a second.
	Demand int64 `cbor:"6,keyasint"`
	// Need is what requests wait for.
	Need int64 `cbor:"7,keyasint"`
	// Wall is the time of day, in Unix milliseconds, just before the row was appended.
	Wall int64 `cbor:"8,keyasint"`
	// Boot is the time since the machine's start, in milliseconds, just before the row was appended.
	Boot int64 `cbor:"9,keyasint"`
	// Incarnation is the life of the instance that wrote the row.
	Incarnation int64 `cbor:"10,keyasint"`
	// WrittenOff is the part of Spent that earlier lives may not have spent.
	WrittenOff int64 `cbor:"11,keyasint"`
	// BurstRate is what the ceiling rises by in addition after BurstDelay, in tokens a second.
	BurstRate  int64         `cbor:"12,keyasint"`
	BurstDelay time.Duration `cbor:"13,keyasint"`
	// OwnDemand is the part of Demand that the writer spends itself, in tokens a second; the rest it gives to peers.
	OwnDemand int64 `cbor:"14,keyasint"`
	// NetLent is what the writer gave to peers less what it took from them; it is used, but not spent here.
	NetLent int64 `cbor:"15,keyasint"`
	// MaxCeiling bounds the ceiling however much time has passed; zero where nothing does.
	MaxCeiling int64 `cbor:"16,keyasint"`
}

// ceiling returns what the writer of the row has spent and reserved at most, the given time after it was built.
func (ro Row) ceiling(elapsed time.Duration) int64 {
	first := record.Ceiling{Base: ro.Base, TokensPerSecond: ro.Rate, Delay: ro.Delay}
	later := record.Ceiling{TokensPerSecond: ro.BurstRate, Delay: ro.BurstDelay}
	reached := first.At(elapsed) + later.At(elapsed)
	if ro.MaxCeiling > 0 {
		reached = min(reached, ro.MaxCeiling)
	}
	return reached
}

// limit returns what may be spent and reserved under the row.
func (ro Row) limit(elapsed time.Duration) int64 { return min(ro.Granted, ro.ceiling(elapsed)) }

// Stamp is a point in time that the next life of an instance can compare with its own.
type Stamp struct {
	Wall time.Time
	Boot time.Duration
}

// maxClockStep is how far the time of day may have been set between two lives on one boot of the machine.
const maxClockStep = 10 * time.Second

// elapsed bounds the time since the row was built; ok is false where neither clock can be compared.
//
// A machine that lost power counts its boot time from anew, which shows as a difference that no setting of the time of day explains;
// then the time of day alone is compared, and is assumed not to have been set back meanwhile.
func (ro Row) elapsed(st Stamp) (time.Duration, bool) {
	wall := time.Duration(st.Wall.UnixMilli()-ro.Wall) * time.Millisecond
	boot := st.Boot - time.Duration(ro.Boot)*time.Millisecond
	if (wall - boot).Abs() > maxClockStep {
		return wall, wall >= 0
	}
	longest := max(wall, boot)
	return longest, longest >= 0
}

func rowKey(team, instance string) string { return rowPrefix + instance + "/" + team }

// splitKey returns the team and the instance of a row's key.
func splitKey(key string) (team, instance string, ok bool) {
	rest, ok := strings.CutPrefix(key, rowPrefix)
	if !ok {
		return "", "", false
	}
	instance, team, ok = strings.Cut(rest, "/")
	return team, instance, ok && team != "" && instance != ""
}

func encodeRow(team, instance string, ro Row) (keyed.Record, error) {
	data, err := record.Marshal(ro)
	return keyed.Record{Key: rowKey(team, instance), Value: data}, err
}
