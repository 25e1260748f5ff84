package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/test/standin"
)

const (
	// allowanceWindow, allowanceOverage and allowanceSlack are the bound on what an account
	// runs beyond its limit.
	allowanceWindow  = 5 * time.Second
	allowanceOverage = 0.1
	allowanceSlack   = 20
	// allowanceHosts is the number of entry hosts, allowanceLength the time with faults.
	allowanceHosts  = 6
	allowanceLength = 12 * time.Second
)

// hot is an account that sends 7.5 times its usual rate to all hosts, calm one that stays far
// within its limit.
var (
	hot  = standin.Account{Name: "hot", Keys: []string{"key-hot"}, Rate: 40, Burst: 40}
	calm = standin.Account{Name: "calm", Keys: []string{"key-calm"}, Rate: 10, Burst: 10}
)

// sendAs sends requests of an account at a rate to random hosts until stop is closed.
func (f *processFleet) sendAs(group *sync.WaitGroup, stop chan struct{}, a standin.Account, rate float64, count func(standin.Outcome)) {
	const senders = 8
	for n := range senders {
		group.Go(func() {
			var targets []*standin.Client
			for _, address := range f.system.EntryAddresses {
				targets = append(targets, &standin.Client{Address: address, ServiceOf: f.serviceOf, Key: a.Keys[0]})
			}
			for i := 0; ; i++ {
				pause := time.Duration(rand.ExpFloat64() * senders / rate * float64(time.Second))
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				c := targets[rand.IntN(len(targets))]
				group.Go(func() { count(c.Fetch(fmt.Sprintf("%s-%d-%d", a.Name, n, i), "x")) })
			}
		})
	}
}

// mostRuns returns the most requests of an account that the servers ran in a window after a
// time, and how many they ran.
func (f *processFleet) mostRuns(account string, after time.Time) (most, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := map[string]time.Time{}
	for _, b := range f.backends {
		for _, r := range b.AccountRuns() {
			if at, ok := first[r.ID]; r.Account == account && r.At.After(after) && (!ok || r.At.Before(at)) {
				first[r.ID] = r.At
			}
		}
	}
	var times []time.Time
	for _, at := range first {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	for i, j := 0, 0; j < len(times); j++ {
		for times[j].Sub(times[i]) > allowanceWindow {
			i++
		}
		most = max(most, j-i+1)
	}
	return most, len(times)
}

// waitLenders waits until the hosts know the lenders, which a leader names after four seconds,
// and until the allowances are full. Without lenders, the hosts grant far fewer requests.
func (f *processFleet) waitLenders(t *testing.T) {
	const probes = 30
	round := 0
	require.Eventually(t, func() bool {
		round++
		time.Sleep(time.Second)
		for n := range probes {
			c := &standin.Client{Address: f.system.EntryAddresses[n%len(f.system.EntryAddresses)], ServiceOf: f.serviceOf, Key: hot.Keys[0]}
			if !c.Fetch(fmt.Sprintf("probe-%d-%d", round, n), "x").Served {
				return false
			}
		}
		return true
	}, readyLimit, 10*time.Millisecond)
	time.Sleep(2 * time.Second)
}

// TestAllowance guards against an account that runs more than its limit over all hosts while
// hosts end, stop and freeze, that cannot use its limit in calm, or whose excess makes others fail.
func TestAllowance(t *testing.T) {
	f := startFleet(t, 97, allowanceHosts)
	operator := standin.Operator{ControlAddresses: f.system.ControlAddresses}
	acked, failure := operator.PublishText(2, standin.DocumentOf(2, 0, hot, calm), recoveryLimit)
	require.True(t, acked, failure)
	f.waitLenders(t)

	var group sync.WaitGroup
	stop := make(chan struct{})
	var refused, calmSent, calmRefused, hotFailed atomic.Int64
	f.sendAs(&group, stop, hot, 7.5/1.6*hot.Rate, func(o standin.Outcome) {
		switch {
		case o.Status == http.StatusTooManyRequests:
			refused.Add(1)
		case !o.Served && !o.Unsent:
			hotFailed.Add(1)
		}
	})
	f.sendAs(&group, stop, calm, 0.3*calm.Rate, func(o standin.Outcome) {
		calmSent.Add(1)
		if o.Status == http.StatusTooManyRequests {
			calmRefused.Add(1)
		}
	})
	begin := time.Now()
	time.Sleep(6 * time.Second)
	_, inCalm := f.mostRuns(hot.Name, begin)
	calmSentInCalm, calmRefusedInCalm := calmSent.Load(), calmRefused.Load()
	for n := 0; time.Since(begin) < 6*time.Second+allowanceLength; n++ {
		p := f.system.Relays[rand.IntN(len(f.system.Relays))]
		switch n % 3 {
		case 0:
			require.NoError(t, p.Signal(syscall.SIGKILL))
			p.Wait(time.Second)
			time.Sleep(time.Duration(rand.IntN(2000)) * time.Millisecond)
			require.NoError(t, p.Restart())
		case 1:
			require.NoError(t, p.Signal(syscall.SIGSTOP))
			time.Sleep(time.Duration(500+rand.IntN(4500)) * time.Millisecond)
			require.NoError(t, p.Signal(syscall.SIGCONT))
		default:
			require.NoError(t, p.Signal(syscall.SIGTERM))
			p.Wait(stopLimit)
			require.NoError(t, p.Restart())
		}
	}
	close(stop)
	group.Wait()
	most, all := f.mostRuns(hot.Name, begin)
	t.Logf("hot: ran %d in calm, %d in all, %d at most in a window, %d refused, %d failed; calm: %d sent, %d refused, in calm %d and %d",
		inCalm, all, most, refused.Load(), hotFailed.Load(), calmSent.Load(), calmRefused.Load(), calmSentInCalm, calmRefusedInCalm)
	require.LessOrEqual(t, float64(most), (hot.Rate*allowanceWindow.Seconds()+hot.Burst)*(1+allowanceOverage)+allowanceSlack)
	require.GreaterOrEqual(t, float64(inCalm), 0.95*hot.Rate*6)
	require.Positive(t, refused.Load())
	require.Zero(t, calmRefusedInCalm)
}

// TestAllowanceOfNewLeader guards against accounts that lose their lenders, and with them
// nearly all of their limit, while the control hosts choose another leader.
func TestAllowanceOfNewLeader(t *testing.T) {
	f := startFleet(t, 98, allowanceHosts)
	operator := standin.Operator{ControlAddresses: f.system.ControlAddresses}
	acked, failure := operator.PublishText(2, standin.DocumentOf(2, 0, hot, calm), recoveryLimit)
	require.True(t, acked, failure)
	f.waitLenders(t)
	var group sync.WaitGroup
	stop := make(chan struct{})
	var sent, refused atomic.Int64
	f.sendAs(&group, stop, hot, 0.5*hot.Rate, func(o standin.Outcome) {
		sent.Add(1)
		if o.Status == http.StatusTooManyRequests {
			refused.Add(1)
		}
	})
	// One of the three is the leader, and two are a majority.
	for _, p := range f.system.Members[:members] {
		require.NoError(t, p.Signal(syscall.SIGKILL))
		p.Wait(time.Second)
		time.Sleep(time.Second)
		require.NoError(t, p.Restart())
		time.Sleep(5 * time.Second)
	}
	close(stop)
	group.Wait()
	t.Logf("%d sent, %d refused", sent.Load(), refused.Load())
	require.Positive(t, sent.Load())
	require.LessOrEqual(t, refused.Load(), sent.Load()/100)
}
