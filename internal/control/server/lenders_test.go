package server

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"gentianpond/internal/protocol/messenger"
)

// TestLenders guards against messages in deployments without accounts, against hosts of the
// release before accounts that are named as lenders, and against a list in each reply.
func TestLenders(t *testing.T) {
	tracker := newLenderTracker(0)
	logger := log.New(io.Discard)
	request := func(n int, accounts bool) *messenger.WatchRequest {
		r := watchFrom(n)
		r.Accounts, r.Lender = accounts, n != 7
		return r
	}
	watch := func(accounts bool) {
		for at := time.Duration(0); at <= 5*time.Second; at += 500 * time.Millisecond {
			for n := 1; n <= 20; n++ {
				tracker.record(at, request(n, accounts))
			}
			tracker.update(at, logger)
		}
	}
	watch(false)
	reply := &messenger.WatchReply{}
	tracker.addTo(reply, request(1, false))
	require.Zero(t, reply.GetLending())
	require.False(t, tracker.isNews(request(1, false)))

	tracker = newLenderTracker(0)
	watch(true)
	lenders := 0
	for n := 1; n <= 20; n++ {
		r := request(n, true)
		require.True(t, tracker.isNews(r))
		reply := &messenger.WatchReply{}
		tracker.addTo(reply, r)
		require.Len(t, reply.GetLent().GetLenders(), 16)
		if tracker.roster.IsLender(r.GetHost()) {
			lenders++
			require.EqualValues(t, 20, reply.GetLent().GetHosts())
			// Only hosts whose address is known can be recognized.
			require.Len(t, reply.GetLent().GetCallers(), 19)
		} else {
			require.Empty(t, reply.GetLent().GetCallers())
		}
		for _, l := range reply.GetLent().GetLenders() {
			require.NotEqual(t, request(7, true).GetPeer(), l.GetAddress())
		}
		r.Lending = reply.GetLending()
		require.False(t, tracker.isNews(r))
		again := &messenger.WatchReply{}
		tracker.addTo(again, r)
		require.Nil(t, again.GetLent())
		require.Equal(t, r.GetLending(), again.GetLending())
	}
	require.Equal(t, 16, lenders)
}
