package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/test/standin"
)

// putDocument sends a document without extra routes to one member and returns the status.
func (f *processFleet) putDocument(member int, version uint64) int {
	status, _ := standin.Call(http.MethodPut, "http://"+f.system.ControlAddresses[member]+"/v1/configuration", standin.Document(version, 0), 1500*time.Millisecond)
	return status
}

// requireDocument waits until the members read back the document with a version.
func (f *processFleet) requireDocument(t *testing.T, version uint64, members ...int) {
	for _, member := range members {
		require.Eventually(t, func() bool {
			status, body := standin.Call(http.MethodGet, "http://"+f.system.ControlAddresses[member]+"/v1/configuration", nil, 1500*time.Millisecond)
			require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable, 0}, status)
			return status == http.StatusOK && string(body) == string(standin.Document(version, 0))
		}, recoveryLimit, 50*time.Millisecond, "document %d at member %d", version, member)
	}
}

// publish sends a document to the members in turn until one acknowledges it.
func (f *processFleet) publish(t *testing.T, version uint64) {
	operator := standin.Operator{ControlAddresses: f.system.ControlAddresses}
	acked, failure := operator.Publish(version, 0, recoveryLimit)
	require.True(t, acked, "document %d: %s", version, failure)
}

// requireServed waits until a relay serves a search.
func (f *processFleet) requireServed(t *testing.T, relay int) {
	c := &standin.Client{Address: f.system.EntryAddresses[relay], ServiceOf: f.serviceOf}
	n := 0
	require.Eventually(t, func() bool {
		n++
		id := fmt.Sprintf("zero-%d-%d-%d", relay, n, time.Now().UnixNano())
		o := c.Search(id, id)
		require.Empty(t, o.Failure)
		return o.Served
	}, recoveryLimit, 50*time.Millisecond, "relay %d", relay)
}

// restartAll ends processes with a signal, all at once, and starts them again with a build.
func restartAll(t *testing.T, signal syscall.Signal, binary string, list ...*standin.Process) {
	for _, p := range list {
		require.NoError(t, p.Signal(signal))
	}
	for _, p := range list {
		clean := p.Wait(memberStopLimit)
		require.True(t, clean || signal == syscall.SIGKILL, "%s did not end by itself", p.Name)
		if binary != "" {
			p.SetBinary(binary)
		}
		require.NoError(t, p.Restart())
	}
}

// TestFirstVersionZero guards against a first document of version 0 that is acknowledged and
// not stored, not obeyed, or lost with processes and disks.
func TestFirstVersionZero(t *testing.T) {
	binary, root := build(t)
	f := startFleetOf(t, binary, root, 13, 2)
	status, _ := standin.Call(http.MethodGet, "http://"+f.system.ControlAddresses[0]+"/v1/configuration", nil, 1500*time.Millisecond)
	require.NotEqual(t, http.StatusOK, status, "before any document")
	all := []int{0, 1, 2}
	f.publish(t, 0)
	f.requireDocument(t, 0, all...)
	f.requireServed(t, 0)
	// Each member is killed in turn, the leader among them, then all at once.
	for _, p := range f.system.Members {
		restartAll(t, syscall.SIGKILL, "", p)
		f.requireDocument(t, 0, all...)
	}
	restartAll(t, syscall.SIGKILL, "", f.system.Members...)
	f.requireDocument(t, 0, all...)
	p := f.system.Members[0]
	require.NoError(t, p.Signal(syscall.SIGKILL))
	p.Wait(stopLimit)
	require.NoError(t, p.RemoveData())
	require.NoError(t, p.Restart())
	f.requireDocument(t, 0, all...)
	restartAll(t, syscall.SIGKILL, "", f.system.Relays[1])
	for relay := range f.system.Relays {
		f.requireServed(t, relay)
	}
	for member := range all {
		require.Equal(t, http.StatusOK, f.putDocument(member, 0), "sent again")
	}
	f.publish(t, 1)
	f.requireDocument(t, 1, all...)
	require.Equal(t, http.StatusOK, f.putDocument(0, 0), "overtaken")
	f.requireDocument(t, 1, all...)
}

// TestVersionZeroBesideLanded guards against a document of version 0 that members of this
// build acknowledge while members of the last landing, which do not keep it, run beside them,
// and against one that is lost when a member runs the last landing for a time.
func TestVersionZeroBesideLanded(t *testing.T) {
	binary, root := build(t)
	landed := buildLanded(t, root)
	f := startFleetOf(t, landed, root, 14, 2)
	require.Eventually(t, func() bool {
		status, _ := standin.Call(http.MethodGet, "http://"+f.system.ControlAddresses[0]+"/v1/configuration", nil, time.Second)
		return status == http.StatusServiceUnavailable
	}, recoveryLimit, 50*time.Millisecond)
	for i, p := range f.system.Members[:members-1] {
		restartAll(t, syscall.SIGTERM, binary, p)
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			for member := range i + 1 {
				require.Contains(t, []int{http.StatusServiceUnavailable, 0}, f.putDocument(member, 0), "acknowledged beside the last landing")
			}
		}
	}
	restartAll(t, syscall.SIGTERM, binary, f.system.Members[members-1])
	f.publish(t, 0)
	all := []int{0, 1, 2}
	f.requireDocument(t, 0, all...)

	// Relays of the last landing do not know the document and refuse requests until they are
	// replaced.
	old := &standin.Client{Address: f.system.EntryAddresses[0], ServiceOf: f.serviceOf}
	o := old.Search("old", "old")
	require.Equal(t, http.StatusServiceUnavailable, o.Status, o.Failure)
	restartAll(t, syscall.SIGTERM, binary, f.system.Relays...)
	for relay := range f.system.Relays {
		f.requireServed(t, relay)
	}

	// A member runs the last landing for a time, and the others are killed afterwards.
	for member, p := range f.system.Members {
		restartAll(t, syscall.SIGTERM, landed, p)
		require.Eventually(t, func() bool {
			status, _ := standin.Call(http.MethodGet, "http://"+f.system.ControlAddresses[member]+"/v1/configuration", nil, 1500*time.Millisecond)
			return status != 0
		}, recoveryLimit, 50*time.Millisecond)
		f.requireServed(t, 0)
		restartAll(t, syscall.SIGTERM, binary, p)
		f.requireDocument(t, 0, all...)
	}
	restartAll(t, syscall.SIGKILL, "", f.system.Members...)
	f.requireDocument(t, 0, all...)

	// Another document is stored by both builds.
	restartAll(t, syscall.SIGTERM, landed, f.system.Members[0])
	f.publish(t, 1)
	f.requireDocument(t, 1, all...)
	restartAll(t, syscall.SIGTERM, landed, f.system.Members[1:]...)
	f.requireDocument(t, 1, all...)
	for relay := range f.system.Relays {
		f.requireServed(t, relay)
	}
}

// TestVersionZeroWithoutMember guards against a first document of version 0 that is refused because
// a member of this build has been lost before, also if no other member remembers it.
func TestVersionZeroWithoutMember(t *testing.T) {
	binary, root := build(t)
	for lost := range members {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			folder := seedFolder(root, uint64(lost))
			require.NoError(t, os.Mkdir(folder, 0o700))
			f := startFleetOf(t, binary, folder, 16+uint64(lost), 1)
			// A check-in is acknowledged once there is a leader.
			require.Eventually(t, func() bool {
				status, _ := standin.Call(http.MethodDelete, "http://"+f.system.ControlAddresses[0]+"/v1/instances/none", nil, time.Second)
				return status == http.StatusOK
			}, recoveryLimit, 50*time.Millisecond)
			require.NoError(t, f.system.Members[lost].Signal(syscall.SIGKILL))
			if lost == 0 {
				restartAll(t, syscall.SIGKILL, "", f.system.Members[1:]...)
			}
			f.publish(t, 0)
			for member := range members {
				if member != lost {
					f.requireDocument(t, 0, member)
				}
			}
			f.requireServed(t, 0)
		})
	}
}
