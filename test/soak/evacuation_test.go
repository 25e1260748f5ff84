package main

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/test/standin"
)

// TestEvacuationUnderLoad guards against requests to servers of an evacuated zone, as these
// see it, when the leader is killed with the order and all members afterwards, and against
// servers that get none after the withdrawal.
func TestEvacuationUnderLoad(t *testing.T) {
	binary, root := build(t)
	s, err := startSoak(binary, seedFolder(root, 92), 92)
	require.NoError(t, err)
	defer s.close()
	stop := make(chan struct{})
	var group sync.WaitGroup
	for n := range clients {
		group.Go(func() { s.runClient(n, stop) })
	}
	const zone = "z0"
	require.True(t, s.orderEvacuation(zone), "not acknowledged")
	s.checkEvacuated(zone)
	s.killMembers(0)
	s.checkEvacuated(zone)
	served := s.served.Load()
	require.Positive(t, served)
	for _, b := range s.backendsOf(zone) {
		b.WatchArrivals(time.Now())
	}
	acked, failure := s.operator.Evacuate(zone, true, recoveryLimit)
	require.True(t, acked, failure)
	require.Eventually(t, func() bool {
		for _, b := range s.backendsOf(zone) {
			if len(b.WatchArrivals(time.Now().Add(-time.Minute))) > 0 {
				return true
			}
		}
		return false
	}, evacuationSettle, 50*time.Millisecond, "no server of the zone is used after the withdrawal")
	status, _ := standin.Call("POST", "http://"+s.system.ControlAddresses[0]+"/v1/evacuation/none", nil, recoveryLimit)
	require.Contains(t, []int{400, 503}, status)
	close(stop)
	group.Wait()
	s.checkRuns()
	require.Empty(t, s.failures)
	require.Greater(t, s.served.Load(), served)
}
