package relayer

import (
	"os"
	"testing"

	"gentianpond/test/seeder"
)

// TestMain fixes seed and count of the property tests, so that a plain run is
// repeatable; both can be given on the command line.
func TestMain(m *testing.M) {
	seeder.SetDefaults(seeder.Defaults{Seed: 31005, Checks: 200})
	os.Exit(m.Run())
}
