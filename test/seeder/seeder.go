// Package seeder sets a fixed seed and number of checks for property tests, so that
// every run without flags has the same result.
package seeder

import (
	"flag"
	"strconv"
)

// Defaults holds the settings of the property tests of one package.
type Defaults struct {
	Seed   uint64
	Checks int
	// Steps is the average number of steps of a state machine; 0 keeps the
	// library's default.
	Steps int
}

// SetDefaults sets the rapid flags that the command line does not set. TestMain
// calls it before it runs the tests. It also turns off the files that rapid writes
// for failed tests, so that failures show in the output alone.
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
