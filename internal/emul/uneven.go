package emul

import "time"

const (
	// disturbanceSpan is the time for which a runner stays disturbed or undisturbed.
	disturbanceSpan = 400 * time.Millisecond
	// disturbedFactor multiplies the time that work takes at a disturbed runner.
	disturbedFactor = 3
)

// Unevenness says how long work takes at the runners.
type Unevenness struct {
	// Factors are the factors of the usual time, which the runners have in turn; without factors, work takes the usual time.
	Factors []float64
	// DisturbedShare is the share of the time in which a runner is disturbed.
	DisturbedShare float64
	// Reported is true if the runners report the present factor with their loads.
	Reported bool
}

// factor returns how long work takes at the runner with the given index at a time, as a factor of the usual time.
func (un Unevenness) factor(index int, now time.Duration) float64 {
	factor := 1.0
	if len(un.Factors) > 0 {
		factor = un.Factors[index%len(un.Factors)]
	}
	if draw := uint64(index+1)*0x9e3779b97f4a7c15 ^ uint64(now/disturbanceSpan+1)*0xc2b2ae3d27d4eb4f; un.DisturbedShare > 0 {
		draw = (draw ^ draw>>29) * 0xbf58476d1ce4e5b9
		if float64(draw>>40)/(1<<24) < un.DisturbedShare {
			factor *= disturbedFactor
		}
	}
	return factor
}
