package matrix

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/clementineweir/clementineweir/internal/fakes"
)

const (
	// crashText is the text in prompts that crashes model runners.
	crashText = "the unreadable drawing"
	// crashesUntilKnown is the number of crashes after which every instance must refuse requests with the message, once stableTime has passed.
	crashesUntilKnown = 5
	// stableTime is the time that instances have to learn of the crashes.
	stableTime = 3 * time.Second
	// maxLateCrashes is the number of requests with the message that may crash runners after that.
	maxLateCrashes = 3
)

// TestMessageCrashesEndpoints guards against requests that share one message, but no more, and crash one model runner after the other. Requests
// that share the other messages must still be served.
func TestMessageCrashesEndpoints(t *testing.T) {
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprint("stream ", stream), func(t *testing.T) {
			runWorld(t, "birligi", nil, func(wo *world) {
				for _, ru := range wo.emulator.Runners {
					ru.SetFaults(fakes.RunnerFaults{CrashOn: crashText})
				}
				crashes := func() int {
					sum := 0
					for _, ru := range wo.emulator.Runners {
						sum += ru.Crashes()
					}
					return sum
				}
				sent := 0
				send := func(messages ...string) bool {
					sent++
					rp := wo.send(context.Background(), sent%instances, call{
						team: 1, class: "question", stream: stream, context: messages, prompt: fmt.Sprintf("question %d answer=8", sent),
					})
					return rp.complete
				}
				for range 8 {
					send("you answer questions", "drawing 1")
				}
				for ix := 0; ix < 40 && crashes() < crashesUntilKnown; ix++ {
					send("you answer questions", "drawing 1", crashText)
					send("you answer questions", "drawing 2")
					time.Sleep(500 * time.Millisecond)
				}
				time.Sleep(stableTime)
				known := crashes()
				sound, served := 0, 0
				for range 24 {
					send("you answer questions", "drawing 1", crashText)
					for _, drawing := range []string{"drawing 1", "drawing 2"} {
						sound++
						if send("you answer questions", drawing) {
							served++
						}
					}
				}
				if late := crashes() - known; late > maxLateCrashes {
					t.Errorf("%d requests with the message crashed runners after %d crashes were known, want at most %d", late, known, maxLateCrashes)
				}
				if served < sound/2 {
					t.Errorf("%d of %d requests without the message were answered, want at least half", served, sound)
				}
			})
		})
	}
}
