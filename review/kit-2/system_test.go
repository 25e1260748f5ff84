//go:build review

package kit

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is where the build command of the deploy file puts the program.
const program = "target/gentianpond"

// process is one process of the program.
type process struct {
	name, role, settings, log string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

var (
	processesMu sync.Mutex
	processes   []*process
)

// stopProcesses ends all processes that were started.
func stopProcesses() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, p := range processes {
		p.kill()
	}
}

// begin starts the process with the command of the deploy file.
func (p *process) begin() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(program, p.role, "--settings", p.settings)
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(done)
	}()
	p.command, p.done = c, done
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s)
	}
}

// alive reports whether the process has not ended.
func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	if p.command == nil {
		return
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// system is a small deployment: three control hosts, of which one may be lost, and entry hosts.
type system struct {
	run             *run
	members, relays []*process
	// control, entry and ready are the addresses at which they serve.
	control, entry, ready []string
}

// errNoPorts means that no ports are free on all addresses.
var errNoPorts = errors.New("no free ports")

// findPorts returns the first of four ports that are free on all hosts.
func findPorts(hosts []string) (int, error) {
	for range 100 {
		port := 20000 + rand.IntN(20000)
		free := true
		for _, h := range hosts {
			for i := range 4 {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", h, port+i))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return port, nil
		}
	}
	return 0, errNoPorts
}

// startSystem starts the processes. The settings are those of the sheet of pmow-hinge.
func startSystem(r *run, members, relays int) (*system, error) {
	network := fmt.Sprintf("127.%d.%d", 64+rand.IntN(64), rand.IntN(256))
	var hosts []string
	for i := range members {
		hosts = append(hosts, fmt.Sprintf("%s.%d", network, 10+i))
	}
	for i := range relays {
		hosts = append(hosts, fmt.Sprintf("%s.%d", network, 100+i))
	}
	port, err := findPorts(hosts)
	if err != nil {
		return nil, err
	}
	s := &system{run: r}
	var seeds []string
	for _, h := range hosts[:members] {
		s.control = append(s.control, fmt.Sprintf("%s:%d", h, port))
	}
	for _, a := range s.control[:min(3, members)] {
		seeds = append(seeds, fmt.Sprintf("%q", a))
	}
	list := strings.Join(seeds, ",")
	for i, h := range hosts {
		name, role := fmt.Sprintf("core-%d", i), "member"
		text := fmt.Sprintf(`{"name":%q,"zone":"zone-%d","listen":"%s:%d","control":[%s],"port":%d,"data":%q,"bootstrap":true,"losses":1,"memory":280,"files":4096,"metrics":"%s:%d"}`,
			name, i%3, h, port, list, port+1, filepath.Join(r.folder, "data-"+name), h, port+3)
		if i >= members {
			name, role = fmt.Sprintf("front-%d", i-members), "relay"
			text = fmt.Sprintf(`{"name":%q,"zone":"zone-%d","listen":"%s:%d","ready":"%s:%d","control":[%s],"port":%d,"share":0.4,"memory":284,"files":4100,"grace":"6s","ratio":0.2,"extra":58,"window":"10s","cost":true,"metrics":"%s:%d"}`,
				name, (i-members)%3, h, port, h, port+2, list, port+1, h, port+3)
			s.entry = append(s.entry, fmt.Sprintf("%s:%d", h, port))
			s.ready = append(s.ready, fmt.Sprintf("%s:%d", h, port+2))
		}
		p := &process{name: name, role: role, settings: filepath.Join(r.folder, name+".json"), log: filepath.Join(r.folder, name+".log")}
		if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if err := p.begin(); err != nil {
			return nil, err
		}
		processesMu.Lock()
		processes = append(processes, p)
		processesMu.Unlock()
		if i < members {
			s.members = append(s.members, p)
		} else {
			s.relays = append(s.relays, p)
		}
	}
	r.note("started %d control hosts and %d entry hosts on %s", members, relays, network)
	return s, nil
}

// publish sends a desired state until it is acknowledged.
func (s *system) publish(document []byte) error {
	for range 100 {
		for _, a := range s.control {
			if status, _ := call(http.MethodPut, "http://"+a+"/v1/configuration", document); status == http.StatusOK {
				s.run.note("desired state acknowledged")
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the desired state was not acknowledged")
}

// awaitReady waits until all entry hosts are ready.
func (s *system) awaitReady() error {
	for range 200 {
		n := 0
		for _, a := range s.ready {
			if status, _ := call(http.MethodGet, "http://"+a+"/v1/readiness", nil); status == http.StatusOK {
				n++
			}
		}
		if n == len(s.ready) {
			s.run.note("all entry hosts are ready")
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the entry hosts are not ready")
}

// call makes an HTTP call on a connection of its own, of a second at most, and returns the status,
// 0 for none, and the body.
func call(method, url string, body []byte) (int, []byte) {
	q, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	transport := &http.Transport{DisableKeepAlives: true}
	res, err := (&http.Client{Timeout: time.Second, Transport: transport}).Do(q)
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
