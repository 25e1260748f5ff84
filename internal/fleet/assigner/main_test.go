package assigner

import (
	"os"
	"testing"

	"gentianpond/test/seeder"
)

// TestMain fixes seed and count of the property tests, so that a plain run is
// repeatable; both can be given on the command line.
func TestMain(m *testing.M) {
	seeder.SetDefaults(seeder.Defaults{Seed: 20251, Checks: 1000})
	os.Exit(m.Run())
}
