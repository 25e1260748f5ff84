package checker

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes seed and count of the property tests, so that a plain run is
// repeatable; both can be given on the command line.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.nofailfile": "true", "rapid.seed": "20251", "rapid.checks": "300"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
