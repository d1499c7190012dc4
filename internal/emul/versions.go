package emul

import (
	"fmt"
	"time"

	"github.com/clementineweir/clementineweir/pkg/place"
	"github.com/clementineweir/clementineweir/pkg/roster"
)

// resumeDelay is the time from the end of a stream that breaks off until its caller resumes it.
const resumeDelay = 300 * time.Millisecond

// Resumptions counts the streams that broke off and were resumed by their callers.
type Resumptions struct {
	// Resumed is the number of streams that were resumed.
	Resumed int
	// WentOn is the number of those that were sent to a runner.
	WentOn int
	// Crossed is the number of those that were sent to a runner of another software version than the one that began the stream.
	Crossed int
}

// resumer is a policy that keeps resumed streams at the build that began them.
type resumer interface {
	// resume returns a runner of the build for a request that resumes a stream, or a refusal.
	resume(instance int, rq place.Request, build string) choice
}

// versionOf returns the software version of the runner with the given index.
func (sc Scenario) versionOf(index int) string {
	if sc.Versions < 2 {
		return ""
	}
	return fmt.Sprint("v", 1+index%sc.Versions)
}

// breaksOff reports whether the next stream breaks off in its middle.
func (si *simulation) breaksOff() bool {
	return si.scenario.BreakShare > 0 && si.random.Float64() < si.scenario.BreakShare
}

// resume sends a request that resumes a stream of the given runner through a random instance.
func (si *simulation) resume(rq place.Request, first *runner, outputTokens int64) {
	instance := si.random.IntN(si.scenario.Instances)
	rq.Domain, rq.Resumed = domainName(instance%si.scenario.Domains), true
	var ch choice
	if re, ok := si.policy.(resumer); ok {
		ch = re.resume(instance, rq, first.endpoint.Build())
	} else {
		ch = si.policy.pick(instance, rq)
	}
	si.resumptions.Resumed++
	if ch.runner == nil {
		return
	}
	si.resumptions.WentOn++
	if ch.runner.endpoint.Build() != first.endpoint.Build() {
		si.resumptions.Crossed++
	}
	att := si.policy.dispatch(instance, rq, ch)
	ch.runner.accept(&job{
		request: rq, outputTokens: outputTokens,
		onFirstToken: func(now time.Duration) { att.firstToken(now, ch.runner.load()) },
		onDone:       func(now time.Duration) { att.end(now, true) },
	}, ch.source)
}

// resume returns a runner of the build for a request that resumes a stream, or a refusal.
func (we *weir) resume(instance int, rq place.Request, build string) choice {
	return we.pickFrom(instance, rq, roster.OfBuild(we.endpoints, build))
}
