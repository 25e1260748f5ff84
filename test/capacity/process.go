package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// clockTicksPerSecond is the rate of the clock ticks in which Linux reports the
// CPU time of processes.
const clockTicksPerSecond = 100

// childProcess is a running process of the program under test.
type childProcess struct {
	cmd *exec.Cmd
}

// startChild starts the program with the arguments. Its standard error goes to a
// log file named after the first of them.
func (m *measurement) startChild(args ...string) (*childProcess, error) {
	c := exec.Command(m.program, args...)
	logs, err := os.Create(filepath.Join(m.dir, fmt.Sprintf("%s-%d.log", args[0], m.groupsFormed)))
	if err != nil {
		return nil, err
	}
	c.Stderr = logs
	if err := c.Start(); err != nil {
		return nil, errors.Wrap(err, "start")
	}
	return &childProcess{cmd: c}, nil
}

func (c *childProcess) stop() {
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait()
}

// cpuTime returns the user and system CPU time that the process has used so far.
func (c *childProcess) cpuTime() (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, after, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(after)
	user, err := strconv.Atoi(fields[11])
	if err != nil {
		return 0, err
	}
	system, err := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / clockTicksPerSecond, err
}

// residentBytes returns the resident memory of the process.
func (c *childProcess) residentBytes() (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, err := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kib) * 1024, err
		}
	}
	return 0, errors.New("no resident memory in the status file")
}

// usage is what a child process used over the window: the average number of
// busy cores, and the resident memory at the end.
type usage struct {
	cores       float64
	memoryBytes float64
}

// measureUsage waits for the window and returns what the process used in it.
func (m *measurement) measureUsage(c *childProcess) (usage, error) {
	before, err := c.cpuTime()
	if err != nil {
		return usage{}, err
	}
	start := time.Now()
	time.Sleep(m.window)
	after, err := c.cpuTime()
	if err != nil {
		return usage{}, err
	}
	memory, err := c.residentBytes()
	return usage{cores: (after - before).Seconds() / time.Since(start).Seconds(), memoryBytes: memory}, err
}

// freeAddress returns a loopback address whose port was free a moment ago.
func freeAddress() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// writeJSON writes v to the named file and returns its path.
func (m *measurement) writeJSON(name string, v any) (string, error) {
	path := filepath.Join(m.dir, name)
	data, err := json.Marshal(v)
	if err != nil {
		return "", err
	}
	return path, os.WriteFile(path, data, 0o644)
}

// startControl starts one control host and returns its inner address. The group
// is formed with two more hosts that are unreachable.
func (m *measurement) startControl() (*childProcess, netip.AddrPort, error) {
	m.groupsFormed++
	listen, err := freeAddress()
	if err != nil {
		return nil, listen, err
	}
	inner, err := freeAddress()
	if err != nil {
		return nil, inner, err
	}
	path, err := m.writeJSON(fmt.Sprintf("control-%d.json", m.groupsFormed), map[string]any{
		"name": "c1", "zone": "z1", "listen": listen, "inner": inner, "data": filepath.Join(m.dir, fmt.Sprintf("data-%d", m.groupsFormed)),
		"hosts": []any{
			map[string]any{"name": "c1", "zone": "z1", "address": inner},
			map[string]any{"name": "c2", "zone": "z2", "address": "127.0.0.1:1"},
			map[string]any{"name": "c3", "zone": "z3", "address": "127.0.0.1:2"},
		},
	})
	if err != nil {
		return nil, inner, err
	}
	if out, err := exec.Command(m.program, "form", "--unreachable", "--settings", path).CombinedOutput(); err != nil {
		return nil, inner, errors.Wrapf(err, "form: %s", out)
	}
	c, err := m.startChild("control", "--settings", path)
	return c, inner, err
}

// startEntry starts one entry host that synchronizes with the control host and
// returns its addresses for callers and for peers.
func (m *measurement) startEntry(control netip.AddrPort) (c *childProcess, listen, inner netip.AddrPort, err error) {
	if listen, err = freeAddress(); err != nil {
		return nil, listen, inner, err
	}
	if inner, err = freeAddress(); err != nil {
		return nil, listen, inner, err
	}
	path, err := m.writeJSON(fmt.Sprintf("entry-%d.json", m.groupsFormed), map[string]any{
		"name": "e1", "zone": "z1", "listen": listen, "inner": inner, "control": []any{control},
	})
	if err != nil {
		return nil, listen, inner, err
	}
	c, err = m.startChild("entry", "--settings", path)
	return c, listen, inner, err
}
