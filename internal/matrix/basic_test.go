package matrix

import (
	"fmt"
	"strings"
	"testing"

	"github.com/clementineweir/clementineweir/internal/fakes"
)

func TestAnswersAreWholeAndBilledOnce(t *testing.T) {
	runWorld(t, "birligi", nil, func(wo *world) {
		const count = 200
		answers := wo.sendAll(count, func(ix int) (int, call) {
			return ix % instances, call{team: 1, class: "question", stream: ix%2 == 0, prompt: fmt.Sprintf("dossier %d answer=%d", ix, ix%40+1)}
		})
		for ix, an := range answers {
			want := strings.Join(fakes.Words(fmt.Sprintf("dossier %d answer=%d", ix, ix%40+1), 0), "")
			if !an.whole || an.text(ix%2 == 0) != want {
				t.Errorf("call %d: %s", ix, an)
			}
		}
		wo.eventually("all billed", func() bool { return wo.budget(0, "team-1").Billed == wo.runTokens() })
	})
}

// runTokens returns the tokens of all whole runs at the model runners.
func (wo *world) runTokens() int64 {
	sum := int64(0)
	for _, ru := range wo.em.Runners {
		for _, rc := range ru.Runs() {
			sum += int64(rc.PromptTokens + rc.CompletionTokens)
		}
	}
	return sum
}
