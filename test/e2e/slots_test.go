package e2e_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/host/gateway"
	"gentianpond/test/fakes/searcher"
)

// TestSlots guards against a backend server that is asked to run more requests
// than it has slots while, under heavy load, one owner is killed and restarted and
// another is suspended and resumed. Every other test checks the same limits at its
// end.
func TestSlots(t *testing.T) {
	y := newSystem(t, systemShape{control: 3, entries: 3, shards: 4, replicas: 2, section: fourShardSection, behavior: searcher.Behavior{Delay: 20 * time.Millisecond}})
	stop := startLoad(24, func(w, i int) {
		lane := gateway.LaneInteractive
		if w%3 == 0 {
			lane = gateway.LaneBulk
		}
		if a, err := y.search(y.entryAddrs[w%3], fmt.Sprintf(`"slots %d %d"`, w, i), lane); err == nil {
			checkSearch(t, a)
		}
	})
	time.Sleep(time.Second)
	y.entries[0].kill()
	time.Sleep(500 * time.Millisecond)
	y.entries[0].start()
	time.Sleep(time.Second)
	y.entries[1].signal(syscall.SIGSTOP)
	time.Sleep(7 * time.Second)
	y.entries[1].signal(syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	stop()
	y.checkLimits()
	most := 0
	for i := range y.fakeSettings {
		most = max(most, y.requireStats(i).MaxRunning)
	}
	require.Equal(t, y.fakeSettings[0].Slots, most, "the load never filled the slots")
}
