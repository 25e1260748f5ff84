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

// ticks is the number of clock ticks a second in which Linux counts the
// processor time of processes.
const ticks = 100

// child is a running program of the project.
type child struct {
	cmd *exec.Cmd
}

func (m *measurement) start(args ...string) (*child, error) {
	c := exec.Command(m.program, args...)
	logs, err := os.Create(filepath.Join(m.dir, fmt.Sprintf("%s-%d.log", args[0], m.runs)))
	if err != nil {
		return nil, err
	}
	c.Stderr = logs
	if err := c.Start(); err != nil {
		return nil, errors.Wrap(err, "start")
	}
	return &child{cmd: c}, nil
}

func (c *child) stop() {
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait()
}

// processor returns the processor time used so far.
func (c *child) processor() (time.Duration, error) {
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
	return time.Duration(user+system) * time.Second / ticks, err
}

// memory returns the resident memory in bytes.
func (c *child) memory() (float64, error) {
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

// usage is what a child used over the window.
type usage struct {
	cores  float64
	memory float64
}

func (m *measurement) measure(c *child) (usage, error) {
	before, err := c.processor()
	if err != nil {
		return usage{}, err
	}
	start := time.Now()
	time.Sleep(m.window)
	after, err := c.processor()
	if err != nil {
		return usage{}, err
	}
	memory, err := c.memory()
	return usage{cores: (after - before).Seconds() / time.Since(start).Seconds(), memory: memory}, err
}

func freePort() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (m *measurement) write(name string, v any) (string, error) {
	path := filepath.Join(m.dir, name)
	data, err := json.Marshal(v)
	if err != nil {
		return "", err
	}
	return path, os.WriteFile(path, data, 0o644)
}

// startControl forms a group of one control host and starts it.
func (m *measurement) startControl() (*child, netip.AddrPort, error) {
	m.runs++
	listen, err := freePort()
	if err != nil {
		return nil, listen, err
	}
	inner, err := freePort()
	if err != nil {
		return nil, inner, err
	}
	path, err := m.write(fmt.Sprintf("control-%d.json", m.runs), map[string]any{
		"name": "c1", "zone": "z1", "listen": listen, "inner": inner, "data": filepath.Join(m.dir, fmt.Sprintf("data-%d", m.runs)),
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
	c, err := m.start("control", "--settings", path)
	return c, inner, err
}

func (m *measurement) startEntry(control netip.AddrPort) (c *child, listen, inner netip.AddrPort, err error) {
	if listen, err = freePort(); err != nil {
		return nil, listen, inner, err
	}
	if inner, err = freePort(); err != nil {
		return nil, listen, inner, err
	}
	path, err := m.write(fmt.Sprintf("entry-%d.json", m.runs), map[string]any{
		"name": "e1", "zone": "z1", "listen": listen, "inner": inner, "control": []any{control},
	})
	if err != nil {
		return nil, listen, inner, err
	}
	c, err = m.start("entry", "--settings", path)
	return c, listen, inner, err
}
