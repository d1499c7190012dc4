package fault

// Verdict says whether a request may have run on an endpoint.
type Verdict uint8

// The verdicts, ordered by how far the request got.
const (
	// NotRun means that no endpoint ran the request and none will.
	NotRun Verdict = iota + 1
	// MayHaveRun means that an endpoint may have run the request.
	MayHaveRun
	// Ran means that an endpoint ran the request.
	Ran
)

// String returns the verdict as written in response bodies and headers.
func (ve Verdict) String() string {
	switch ve {
	case NotRun:
		return "notRun"
	case MayHaveRun:
		return "mayHaveRun"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Max returns the greater of two verdicts, in the order NotRun, MayHaveRun, Ran.
func (ve Verdict) Max(other Verdict) Verdict {
	return max(ve, other)
}
