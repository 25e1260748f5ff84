package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
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

// beforeEvacuations is the last landing whose members do not know evacuations.
const beforeEvacuations = "49a1f82"

// TestOldMemberIgnoresEvacuation guards against an order that ends the members of the last
// landing, or that keeps them from following the log.
func TestOldMemberIgnoresEvacuation(t *testing.T) {
	binary, root := build(t)
	landed := buildCommit(t, root, beforeEvacuations)
	s, err := startSoak(binary, seedFolder(root, 93), 93)
	require.NoError(t, err)
	defer s.close()
	old := s.system.Members[0]
	require.NoError(t, old.Signal(syscall.SIGTERM))
	old.Wait(memberStopLimit)
	old.SetBinary(landed)
	require.NoError(t, old.Restart())
	// Only members of this build are asked: the old one does not know the path.
	operator := standin.Operator{ControlAddresses: s.system.ControlAddresses[1:]}
	for _, withdraw := range []bool{false, true, false} {
		acked, failure := operator.Evacuate("z0", withdraw, recoveryLimit)
		require.Empty(t, failure)
		require.True(t, acked)
		s.publishDocument(0)
	}
	version := s.operator.AckedVersion()
	require.Eventually(t, func() bool {
		status, body := standin.Call("GET", "http://"+s.system.ControlAddresses[0]+"/v1/configuration", nil, time.Second)
		return status == 200 && strings.Contains(string(body), fmt.Sprintf(`"version":%d`, version))
	}, recoveryLimit, 50*time.Millisecond, "the old member does not answer")
	require.NoError(t, old.Signal(syscall.Signal(0)), "the old member has ended")
	require.Empty(t, s.failures)
}
