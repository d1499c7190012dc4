package quota

import (
	"strings"
	"time"

	"github.com/clementineweir/clementineweir/pkg/keyed"
	"github.com/clementineweir/clementineweir/pkg/record"
)

// rowPrefix is the prefix of the keys of rows.
const rowPrefix = "grant/"

// Row is the record in the topic for one team at one instance; all amounts are in tokens.
//
// A further field would make the row unreadable to older builds (record.Unmarshal fails on unknown fields), and for those the whole total then
// counts as granted until no such row is left. Fields that are zero are left out, which older builds read as zero: all instances read all rows, and
// in rows without demand it saves a tenth of the bytes.
type Row struct {
	// Granted is the limit on the tokens that this and all earlier incarnations of the instance may use together; see account.used.
	Granted int64 `cbor:"1,keyasint,omitempty"`
	// Base, Rate and Delay define the ceiling, a limit on the tokens used that rises with time. The ceiling starts at Base tokens. Once Delay
	// has passed since the row was built, it rises by Rate tokens a second. See also BurstRate, BurstDelay and MaxCeiling.
	Base  int64         `cbor:"2,keyasint,omitempty"`
	Rate  int64         `cbor:"3,keyasint,omitempty"`
	Delay time.Duration `cbor:"4,keyasint,omitempty"`
	// Spent is the cost of finished requests, plus the tokens that count as spent by earlier incarnations.
	Spent int64 `cbor:"5,keyasint,omitempty"`
	// Demand is the current rate of tokens spent and lent, in tokens a second.
	Demand int64 `cbor:"6,keyasint,omitempty"`
	// Need is the sum of the tokens that waiting requests of this instance need.
	Need int64 `cbor:"7,keyasint,omitempty"`
	// Wall is the wall-clock time in Unix milliseconds, taken just before the row was appended.
	Wall int64 `cbor:"8,keyasint,omitempty"`
	// Boot is the time since the machine was booted, in milliseconds, taken just before the row was appended.
	Boot int64 `cbor:"9,keyasint,omitempty"`
	// Incarnation is the incarnation of the instance that wrote the row.
	Incarnation int64 `cbor:"10,keyasint,omitempty"`
	// WrittenOff is the part of Spent that counts as spent although it is unknown whether earlier incarnations spent it.
	WrittenOff int64 `cbor:"11,keyasint,omitempty"`
	// BurstRate and BurstDelay make the ceiling rise faster later. Once BurstDelay has passed since the row was built, the ceiling rises by
	// Rate + BurstRate tokens a second.
	BurstRate  int64         `cbor:"12,keyasint,omitempty"`
	BurstDelay time.Duration `cbor:"13,keyasint,omitempty"`
	// OwnDemand is the part of Demand that the instance spends itself, in tokens a second. The rest of Demand are tokens lent to peers.
	OwnDemand int64 `cbor:"14,keyasint,omitempty"`
	// NetLent is the number of tokens lent to peers less those received from peers; it is part of the tokens used
	// (account.used), but not of Spent. It includes the transfers of earlier incarnations; rows of older builds count those in Spent.
	NetLent int64 `cbor:"15,keyasint,omitempty"`
	// MaxCeiling is the highest value that the ceiling reaches; zero means that it is not bounded.
	MaxCeiling int64 `cbor:"16,keyasint,omitempty"`
}

// ceiling returns the maximum number of tokens that the instance may have used at the given time after the row was built.
func (ro Row) ceiling(elapsed time.Duration) int64 {
	reached := ro.unboundedCeiling(elapsed)
	if ro.MaxCeiling > 0 {
		reached = min(reached, ro.MaxCeiling)
	}
	return reached
}

// unboundedCeiling returns the ceiling without the bound of MaxCeiling.
func (ro Row) unboundedCeiling(elapsed time.Duration) int64 {
	first := record.Ceiling{Base: ro.Base, TokensPerSecond: ro.Rate, Delay: ro.Delay}
	later := record.Ceiling{TokensPerSecond: ro.BurstRate, Delay: ro.BurstDelay}
	return first.At(elapsed) + later.At(elapsed)
}

// statedUse returns the tokens of the grant that the row states as spent or lent. More than that may be in use: the reservations of requests
// in flight, and what the instance has used since the row was built.
func (ro Row) statedUse() int64 { return ro.Spent + ro.NetLent }

// limit returns the minimum of the grant and the ceiling at the given time after the row was built: the maximum number of tokens that the
// instance may have used under the row.
func (ro Row) limit(elapsed time.Duration) int64 { return min(ro.Granted, ro.ceiling(elapsed)) }

// Stamp is a reading of two clocks that continue when the process restarts. Rows contain it, so that the next incarnation can compute the
// age of a row.
type Stamp struct {
	// Wall is the wall-clock time.
	Wall time.Time
	// Boot is the time since the machine was booted.
	Boot time.Duration
}

// maxClockStep is the maximum difference by which the two clocks of Stamp may disagree on the age of a row. A smaller difference is
// taken for an adjustment of the wall clock, a larger one for a reboot.
const maxClockStep = 10 * time.Second

// elapsed returns an upper bound of the time since the row was built; ok is false if neither clock can be compared.
//
// After a reboot the boot time starts again from zero. If the two clocks disagree on the elapsed time by more than maxClockStep, a reboot
// is assumed. Then only the wall clock is compared, on the assumption that it was not set back meanwhile. If the row seems to be from the
// future, it was set back all the same, by maxClockStep at most unless the row seems newer than that. The time since the reboot is no
// bound: the machine may be another one than that of the earlier process, which then went on, and the time for which the machine was off is
// all that covers a wall clock that was set back unnoticed.
func (ro Row) elapsed(st Stamp) (time.Duration, bool) {
	wall := time.Duration(st.Wall.UnixMilli()-ro.Wall) * time.Millisecond
	boot := st.Boot - time.Duration(ro.Boot)*time.Millisecond
	if (wall - boot).Abs() > maxClockStep {
		if wall < 0 {
			wall += maxClockStep
		}
		return wall, wall >= 0
	}
	longest := max(wall, boot)
	return longest, longest >= 0
}

func rowKey(team, instance string) string { return rowPrefix + instance + "/" + team }

// splitKey returns the team and the instance that are part of a row's key.
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
