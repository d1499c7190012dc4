package matrix

import (
	"fmt"
	"strings"
	"sync"
)

// resultTable collects the result of each cell; it is safe for concurrent use.
type resultTable struct {
	mu    sync.Mutex
	cells map[string]string
}

func newResultTable() *resultTable { return &resultTable{cells: map[string]string{}} }

func (rt *resultTable) put(ce cell, cellResult string) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.cells[ce.name()] = cellResult
}

// markdown returns the table as a Markdown document.
func (rt *resultTable) markdown() string {
	var sb strings.Builder
	sb.WriteString("# Fault matrix\n\n" +
		"Each row is a step, each column a fault that begins at the first moment of that step. In every cell four instances serve\n" +
		"a mix of plain, keyed and scarce-budget requests, and after the fault has passed the test checks: no overspend; each\n" +
		"non-idempotent key ran at most once; every refusal as not run is absent from what the endpoints ran; every answer is\n" +
		"whole and the caller's own; nothing stays reserved; every instance serves again. `ok` is a cell in which all of this held\n" +
		"and every request outside the scarce budget was served; `N unserved` counts requests whose caller gave up after eight tries;\n" +
		"`not reached` is a step that the workload did not come to; `FAILED` is a broken promise.\n\n" +
		"Made by `go test ./internal/matrix -run TestFaultMatrix -faults \"$PWD/docs/FAULTS.md\"`, in virtual time.\n\n| step |")
	for _, fa := range faults {
		fmt.Fprintf(&sb, " %s |", fa.name)
	}
	sb.WriteString("\n|---|" + strings.Repeat("---|", len(faults)) + "\n")
	for _, st := range steps {
		fmt.Fprintf(&sb, "| %s |", st.name)
		for _, fa := range faults {
			cellResult, ok := rt.cells[cell{step: st, fault: fa}.name()]
			if !ok {
				cellResult = "not run"
			}
			fmt.Fprintf(&sb, " %s |", cellResult)
		}
		sb.WriteString("\n")
	}
	return sb.String()
}
