package scanner

import (
	"os"
	"testing"

	"gentianpond/test/seeder"
)

// TestMain sets a default seed and number of checks for the property tests, so
// that a run without flags is repeatable. Flags override both.
func TestMain(m *testing.M) {
	seeder.SetDefaults(seeder.Defaults{Seed: 20251, Checks: 300})
	os.Exit(m.Run())
}
