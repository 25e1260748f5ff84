//go:build review

// Package case1 replaces a control host as planned and then takes away the disk of another
// one.
package case1

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"gentianpond/review/kit"
)

const (
	// catchUp and recovery are the bounds catchUpS and recoveryS of the site, outer is
	// outerBoundMs.
	catchUp  = 4 * time.Second
	recovery = 12 * time.Second
	outer    = 12 * time.Second
	// startLead is the time from the start of the successor to the SIGTERM of the control
	// host that it replaces.
	startLead = catchUp + time.Second
	// lossDelay is the time from the end of that host to the loss of the disk.
	lossDelay = 1500 * time.Millisecond
	// downTime is how long the machine that lost its disk is down.
	downTime = 2 * time.Second
	// readTime is how long the operator reads back at the end, after recovery and outer.
	readTime = 15 * time.Second
)

func TestMain(*testing.M) { kit.Main(run) }

// document returns a valid desired state.
func document(version int) []byte {
	text, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{"name": "fetch", "host": "order.example", "pathPrefix": "/f/", "kind": "safe", "timeoutMs": 10000,
			"targetLatencyMs": 600, "priority": 2, "attempts": 2, "service": "orders"}},
		"services": []map[string]any{{"name": "orders", "healthPath": "/health", "connectionLimit": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	return text
}

type operator struct {
	c     *kit.Case
	acked int
}

// publish sends a version to one control host after the other until one acknowledges it or
// the limit has passed. It returns the host that did.
func (o *operator) publish(version int, members []*kit.Member, limit time.Duration) *kit.Member {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, m := range members {
			status, _ := kit.Call(http.MethodPut, "http://"+m.Address+"/v1/configuration", document(version), kit.CallTimeout)
			o.c.Log("operator: version %d to %s: %d", version, m.Name, status)
			if status == http.StatusOK {
				o.acked = version
				return m
			}
		}
	}
	return nil
}

// read reads the desired state back from a control host. The version is 0 without an answer.
func (o *operator) read(m *kit.Member) int {
	status, body := kit.Call(http.MethodGet, "http://"+m.Address+"/v1/configuration", nil, kit.CallTimeout)
	var d struct {
		Version int `json:"version"`
	}
	if status == http.StatusOK {
		if err := json.Unmarshal(body, &d); err != nil {
			o.c.Log("operator: unreadable answer of %s: %v", m.Name, err)
		}
	}
	o.c.Log("operator: read from %s: status %d, version %d", m.Name, status, d.Version)
	return d.Version
}

func run(c *kit.Case) (int, error) {
	var seeds []string
	for host := 1; host <= 3; host++ {
		seeds = append(seeds, c.Address(host, c.Port))
	}
	var members []*kit.Member
	for host := 1; host <= 3; host++ {
		m, err := c.NewMember(host, seeds, true)
		if err != nil {
			return kit.NotRun, err
		}
		if err := m.Start(); err != nil {
			return kit.NotRun, err
		}
		members = append(members, m)
	}
	o := &operator{c: c}
	if o.publish(1, members, 15*time.Second) == nil {
		return kit.NotRun, fmt.Errorf("the group did not form")
	}
	for _, m := range members {
		if err := m.SetSeeds(seeds); err != nil {
			return kit.NotRun, err
		}
	}
	time.Sleep(2 * time.Second)

	// Planned work: the successor starts first, then the old control host gets SIGTERM.
	successor, err := c.NewMember(4, seeds, false)
	if err != nil {
		return kit.NotRun, err
	}
	if err := successor.Start(); err != nil {
		return kit.NotRun, err
	}
	for version, end := 2, time.Now().Add(startLead); time.Now().Before(end); version++ {
		o.publish(version, members, time.Second)
		time.Sleep(500 * time.Millisecond)
	}
	old := members[0]
	if err := old.Signal(syscall.SIGTERM); err != nil {
		return kit.NotRun, err
	}
	if err := old.Wait(6 * time.Second); err != nil {
		return kit.NotRun, err
	}
	members = []*kit.Member{members[1], members[2], successor}
	seeds = []string{members[0].Address, members[1].Address, members[2].Address}
	time.Sleep(lossDelay)

	// The members that are left of the first three hold the newest version; one of them
	// acknowledges it.
	victim := o.publish(100, members[:2], 3*time.Second)
	if victim == nil {
		return kit.NotRun, fmt.Errorf("no change was acknowledged after the planned replacement")
	}
	if c.Trouble {
		// The disruption: the host that has just acknowledged loses its disk.
		if err := victim.Signal(syscall.SIGKILL); err != nil {
			return kit.NotRun, err
		}
		if err := victim.Wait(5 * time.Second); err != nil {
			return kit.NotRun, err
		}
		if err := os.RemoveAll(victim.Data); err != nil {
			return kit.NotRun, err
		}
		c.Log("%s has lost its disk", victim.Name)
		time.Sleep(downTime)
		if err := victim.SetSeeds(seeds); err != nil {
			return kit.NotRun, err
		}
		if err := victim.Start(); err != nil {
			return kit.NotRun, err
		}
	}
	wait := catchUp + recovery + outer
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(time.Second) {
		o.read(members[int(c.Now().Seconds())%3])
	}
	c.Log("%s after the last machine came back; the operator reads back", wait)
	best, answers := 0, 0
	for end := time.Now().Add(readTime); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for _, m := range members {
			version := o.read(m)
			if version > 0 {
				answers++
			}
			if version > 0 && version < o.acked {
				c.Log("BROKEN: %s answered version %d, but %d is acknowledged", m.Name, version, o.acked)
				return kit.Broken, nil
			}
			best = max(best, version)
		}
	}
	if best < o.acked {
		c.Log("BROKEN: version %d was acknowledged and did not come back in %s (%d answers)", o.acked, readTime, answers)
		return kit.Broken, nil
	}
	c.Log("held: version %d was read back (%d answers)", best, answers)
	return kit.Held, nil
}
