package quota

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain gives the property tests a fixed seed, and runs that are long enough for several incarnations of an instance, unless flags say
// otherwise.
func TestMain(ma *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(fl *flag.Flag) { given[fl.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "250", "rapid.checks": "500"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(ma.Run())
}
