//go:build review

// Package kit starts the program's processes on loopback addresses for the cases of the
// review, makes the calls of an operator, and records what happened.
package kit

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// CallTimeout is how long an operator or a backend server waits for the answer of a control
// host.
const CallTimeout = time.Second

// Case is one run of a case. Use Main.
type Case struct {
	// Trouble is false if the run leaves the disruption out.
	Trouble bool
	// Folder is a temporary folder, removed at the end.
	Folder string
	// Network is the third number of the loopback addresses.
	Network int
	// Port is the first of four consecutive ports that are free.
	Port int

	binary string
	start  time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*Process
}

// Main runs a case and ends the process with its exit code. It expects the paths of the
// program and of the record in PROGRAM and RECORD.
func Main(run func(c *Case) (int, error)) {
	code := NotRun
	defer func() { os.Exit(code) }()
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	defer func() { _ = record.Close() }()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	defer func() { _ = os.RemoveAll(folder) }()
	c := &Case{
		Trouble: os.Getenv("TROUBLE") != "0", Folder: folder, binary: os.Getenv("PROGRAM"), start: time.Now(), record: record,
		Network: 1 + os.Getpid()%200,
	}
	defer c.killAll()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if c.Port, err = c.freePorts(); err != nil {
		c.Log("could not run: %v", err)
		return
	}
	c.Log("trouble=%t network=127.0.%d.0 port=%d", c.Trouble, c.Network, c.Port)
	done := make(chan struct{})
	go func() {
		defer close(done)
		result, err := run(c)
		if err != nil {
			c.Log("could not run: %v", err)
			return
		}
		code = result
	}()
	select {
	case <-done:
	case <-ctx.Done():
		c.Log("could not run: interrupted")
	case <-time.After(115 * time.Second):
		c.Log("could not run: out of time")
	}
	if folder := os.Getenv("KEEP"); folder != "" {
		if err := os.CopyFS(folder, os.DirFS(c.Folder)); err != nil {
			c.Log("logs not kept: %v", err)
		}
	}
	c.Log("exit code %d", code)
}

// freePorts returns the first of four consecutive ports that are free.
func (c *Case) freePorts() (int, error) {
	for range 50 {
		l, err := net.Listen("tcp4", c.Address(1, 0))
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if port+3 < 65536 && c.areFree(port) {
			return port, nil
		}
	}
	return 0, errors.New("no free ports")
}

func (c *Case) areFree(port int) bool {
	for host := 1; host <= 12; host++ {
		for p := port; p <= port+3; p++ {
			l, err := net.Listen("tcp4", c.Address(host, p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// Address returns the address of a host of the case's network.
func (c *Case) Address(host, port int) string {
	return fmt.Sprintf("127.0.%d.%d:%d", c.Network, host, port)
}

// Now returns the time since the start of the run.
func (c *Case) Now() time.Duration { return time.Since(c.start) }

// Log writes a line to the record.
func (c *Case) Log(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  %s\n", c.Now().Seconds(), fmt.Sprintf(format, args...))
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.record.WriteString(line)
	if os.Getenv("VERBOSE") != "" {
		fmt.Print(line)
	}
}

// Process is a process of the program.
type Process struct {
	Name     string
	c        *Case
	role     string
	settings string
	command  *exec.Cmd
	exited   chan error
}

// NewProcess returns a process that is not started yet.
func (c *Case) NewProcess(name, role, settings string) (*Process, error) {
	p := &Process{Name: name, c: c, role: role, settings: filepath.Join(c.Folder, name+".json")}
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	return p, p.SetSettings(settings)
}

// SetSettings replaces the settings file.
func (p *Process) SetSettings(text string) error {
	return os.WriteFile(p.settings, []byte(text), 0o600)
}

// Start starts the process, with its output in a log file.
func (p *Process) Start() error {
	out, err := os.OpenFile(filepath.Join(p.c.Folder, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	command := exec.Command(p.c.binary, p.role, "--settings", p.settings)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan error, 1)
	go func() { exited <- command.Wait() }()
	p.c.mu.Lock()
	p.command, p.exited = command, exited
	p.c.mu.Unlock()
	p.c.Log("%s starts", p.Name)
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	p.c.Log("%s gets the signal %q", p.Name, s)
	return p.command.Process.Signal(s)
}

// Wait waits for the end of the process.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case err := <-p.exited:
		p.exited <- err
		p.c.Log("%s has ended (%v)", p.Name, err)
		return nil
	case <-time.After(limit):
		return fmt.Errorf("%s did not end within %s", p.Name, limit)
	}
}

// killAll ends all processes that are still running.
func (c *Case) killAll() {
	c.mu.Lock()
	list := c.processes
	c.mu.Unlock()
	for _, p := range list {
		if p.command == nil {
			continue
		}
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		select {
		case <-p.exited:
		case <-time.After(5 * time.Second):
		}
	}
}

// Member is a control host of the case.
type Member struct {
	*Process
	// Address is where operators and backend servers reach it.
	Address string
	// Data is its data folder.
	Data string
	host int
}

// NewMember returns control host number host, which is not started yet.
func (c *Case) NewMember(host int, seeds []string, bootstrap bool) (*Member, error) {
	m := &Member{Address: c.Address(host, c.Port), Data: filepath.Join(c.Folder, fmt.Sprintf("data-%d", host)), host: host}
	p, err := c.NewProcess(fmt.Sprintf("member-%d", host), "member", c.memberSettings(m, seeds, bootstrap))
	m.Process = p
	return m, err
}

// memberSettings renders deploy/member.json.
func (c *Case) memberSettings(m *Member, seeds []string, bootstrap bool) string {
	return fmt.Sprintf(`{"name":"member-%d","zone":"z%d","listen":%q,"control":[%s],"port":%d,"data":%q,"bootstrap":%t,"losses":1,"metrics":%q}`,
		m.host, m.host%3, m.Address, quoted(seeds), c.Port+1, m.Data, bootstrap, c.Address(m.host, c.Port+3))
}

// SetSeeds rewrites the settings for the next start, which is no bootstrap.
func (m *Member) SetSeeds(seeds []string) error {
	return m.SetSettings(m.c.memberSettings(m, seeds, false))
}

// NewRelay returns entry host number host, which is not started yet, its address for clients
// and the one for readiness checks. It renders deploy/relay.json.
func (c *Case) NewRelay(host int, seeds []string) (p *Process, entry, ready string, err error) {
	entry, ready = c.Address(host, c.Port), c.Address(host, c.Port+2)
	p, err = c.NewProcess(fmt.Sprintf("relay-%d", host), "relay", fmt.Sprintf(
		`{"name":"relay-%d","zone":"z%d","listen":%q,"ready":%q,"control":[%s],"port":%d,"share":0.4,"memory":284,"grace":"6s","ratio":0.2,"extra":56,"window":"10s","metrics":%q}`,
		host, host%3, entry, ready, quoted(seeds), c.Port+1, c.Address(host, c.Port+3)))
	return p, entry, ready, err
}

func quoted(list []string) string { return `"` + strings.Join(list, `","`) + `"` }

// Call makes one HTTP call on a connection of its own and returns the status, 0 for none, and
// the body.
func Call(method, url string, body []byte, timeout time.Duration) (int, []byte) {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Header.Set("Content-Type", "application/json")
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Timeout: timeout, Transport: transport}
	res, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, data
}
