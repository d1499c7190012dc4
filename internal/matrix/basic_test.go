package matrix

import (
	"fmt"
	"strings"
	"testing"

	"github.com/clementineweir/clementineweir/internal/fakes"
)

// TestAnswersAreWholeAndBilledOnce sends requests to all instances without faults. Each response must be complete and the one expected for its
// prompt. The number of tokens billed must equal that of the runs at the endpoints.
func TestAnswersAreWholeAndBilledOnce(t *testing.T) {
	runWorld(t, "birligi", nil, func(wo *world) {
		const count = 200
		responses := wo.sendAll(count, func(ix int) (int, call) {
			return ix % instances, call{team: 1, class: "question", stream: ix%2 == 0, prompt: fmt.Sprintf("dossier %d answer=%d", ix, ix%40+1)}
		})
		for ix, rp := range responses {
			want := strings.Join(fakes.CompletionWords(fmt.Sprintf("dossier %d answer=%d", ix, ix%40+1), 0), "")
			if !rp.complete || rp.text(ix%2 == 0) != want {
				t.Errorf("request %d got an incomplete or wrong response: %s", ix, rp)
			}
		}
		wo.eventually("the tokens billed to team-1 equal those of all runs", func() bool { return wo.budget(0, "team-1").Billed == wo.runTokens() })
	})
}

// runTokens returns the number of prompt and completion tokens of all runs at the model runners.
func (wo *world) runTokens() int64 {
	sum := int64(0)
	for _, ru := range wo.emulator.Runners {
		for _, rc := range ru.Runs() {
			sum += int64(rc.PromptTokens + rc.CompletionTokens)
		}
	}
	return sum
}
