// Package seeder fixes the seed and the number of checks of property tests, so
// that every plain run gives the same verdict.
package seeder

import (
	"flag"
	"strconv"
)

// Defaults are the settings of one package's property tests.
type Defaults struct {
	Seed   uint64
	Checks int
	// Steps is the average number of steps of a state machine; 0 keeps the
	// library's default.
	Steps int
}

// SetDefaults applies v to the flags that the command line does not set. TestMain calls
// it first. Failures are shown in the output only, without a file.
func SetDefaults(v Defaults) {
	flag.Parse()
	values := map[string]string{
		"rapid.nofailfile": "true",
		"rapid.seed":       strconv.FormatUint(v.Seed, 10),
		"rapid.checks":     strconv.Itoa(v.Checks),
	}
	if v.Steps > 0 {
		values["rapid.steps"] = strconv.Itoa(v.Steps)
	}
	flag.Visit(func(f *flag.Flag) { delete(values, f.Name) })
	for name, value := range values {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
