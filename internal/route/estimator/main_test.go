package estimator

import (
	"os"
	"testing"

	"gentianpond/test/seeder"
)

// TestMain fixes the seed and the number of checks of the property tests
// unless they are given on the command line.
func TestMain(m *testing.M) {
	seeder.SetDefaults(seeder.Defaults{Seed: 1, Checks: 500})
	os.Exit(m.Run())
}
