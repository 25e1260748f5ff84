package standin

import (
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is one process of the program.
type Process struct {
	Name     string
	role     string
	settings string
	log      string
	binary   string
	// data is the folder for durable state; relays have none.
	data string

	mu      sync.Mutex
	command *exec.Cmd
	// done gets true if the process ended without an error.
	done chan bool
}

// System is a small system on loopback addresses.
type System struct {
	Members []*Process
	Relays  []*Process
	// Control, Entry and Ready are the addresses of members and relays.
	Control []string
	Entry   []string
	Ready   []string
	// Metrics are the addresses of the metrics pages, those of members first.
	Metrics []string
	folder  string
}

// TrackSources stats every source file below root. go test counts files that a
// test stats as its inputs; without this it would take a result from its cache
// after a change that only the built programs contain. It has to be called by a
// test: what TestMain does before it runs the tests does not count.
func TrackSources(root string) error {
	return filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err == nil && filepath.Ext(path) == ".go" {
			_, err = os.Stat(path)
		}
		return err
	})
}

// Build builds the program into a folder and returns its path.
func Build(folder string) (string, error) {
	binary := filepath.Join(folder, "gentianpond")
	out, err := exec.Command("go", "build", "-buildvcs=false", "-o", binary, "gentianpond/cmd/gentianpond").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return binary, nil
}

// Start starts members and relays. Net is the third number of the loopback
// addresses, port the first of four ports; both keep systems apart.
func Start(binary, folder string, network byte, port, members, relays int) (*System, error) {
	s := &System{folder: folder}
	for i := range members {
		s.Control = append(s.Control, fmt.Sprintf("127.0.%d.%d:%d", network, i+1, port))
	}
	seeds := `"` + strings.Join(s.Control[:min(3, members)], `","`) + `"`
	for i, address := range s.Control {
		data := filepath.Join(folder, fmt.Sprintf("data-%d", i))
		metrics := fmt.Sprintf("127.0.%d.%d:%d", network, i+1, port+3)
		s.Metrics = append(s.Metrics, metrics)
		text := func(bootstrap bool) string {
			return fmt.Sprintf(`{"name":"member-%d","zone":"z%d","listen":%q,"control":[%s],"port":%d,"data":%q,"bootstrap":%t,"losses":1,"metrics":%q}`,
				i, i%2, address, seeds, port+1, data, bootstrap, metrics)
		}
		p, err := s.process(binary, "member", i, text(true))
		if err != nil {
			return s, err
		}
		p.data = data
		s.Members = append(s.Members, p)
		if err := p.Start(); err != nil {
			return s, err
		}
		// Only the first start founds the group.
		if err := os.WriteFile(p.settings+".next", []byte(text(false)), 0o600); err != nil {
			return s, err
		}
	}
	for i := range relays {
		entry := fmt.Sprintf("127.0.%d.%d:%d", network, 100+i, port)
		ready := fmt.Sprintf("127.0.%d.%d:%d", network, 100+i, port+2)
		metrics := fmt.Sprintf("127.0.%d.%d:%d", network, 100+i, port+3)
		s.Metrics = append(s.Metrics, metrics)
		text := fmt.Sprintf(`{"name":"relay-%d","zone":"z%d","listen":%q,"ready":%q,"control":[%s],"port":%d,"grace":"3s","ratio":0.2,"extra":50,"window":"10s","metrics":%q}`,
			i, i%2, entry, ready, seeds, port+1, metrics)
		p, err := s.process(binary, "relay", i, text)
		if err != nil {
			return s, err
		}
		s.Entry, s.Ready, s.Relays = append(s.Entry, entry), append(s.Ready, ready), append(s.Relays, p)
		if err := p.Start(); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *System) process(binary, role string, number int, settings string) (*Process, error) {
	name := fmt.Sprintf("%s-%d", role, number)
	p := &Process{
		Name: name, role: role, binary: binary,
		settings: filepath.Join(s.folder, name+".json"), log: filepath.Join(s.folder, name+".log"),
	}
	return p, os.WriteFile(p.settings, []byte(settings), 0o600)
}

// Start starts the process; its output goes to a file that keeps what earlier
// starts wrote.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	p.command = exec.Command(p.binary, p.role, "--settings", p.settings)
	p.command.Stdout, p.command.Stderr = out, out
	if err := p.command.Start(); err != nil {
		return err
	}
	p.done = make(chan bool, 1)
	go func(c *exec.Cmd, done chan bool) { done <- c.Wait() == nil }(p.command, p.done)
	return nil
}

// Restart starts the process again, with the settings for later starts.
func (p *Process) Restart() error {
	if next, err := os.ReadFile(p.settings + ".next"); err == nil {
		if err := os.WriteFile(p.settings, next, 0o600); err != nil {
			return err
		}
	}
	return p.Start()
}

// Signal sends a signal to the process, by its id.
func (p *Process) Signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command.Process.Signal(signal)
}

// Wait waits for the end of the process, at most for the given time, and kills
// it then. It reports whether it ended by itself without an error.
func (p *Process) Wait(limit time.Duration) bool {
	p.mu.Lock()
	done, process := p.done, p.command.Process
	p.mu.Unlock()
	select {
	case clean := <-done:
		return clean
	case <-time.After(limit):
		_ = process.Kill()
		<-done
		return false
	}
}

// Stop ends all processes that were started.
func (s *System) Stop() {
	for _, p := range append(append([]*Process(nil), s.Relays...), s.Members...) {
		if p.command == nil {
			continue
		}
		_ = p.Signal(syscall.SIGCONT)
		_ = p.Signal(syscall.SIGKILL)
		p.Wait(5 * time.Second)
	}
}

// Wipe removes the durable state of a process that does not run.
func (p *Process) Wipe() error { return os.RemoveAll(p.data) }

// IsReady asks one relay as the load balancer does.
func (s *System) IsReady(relay int) bool {
	status, _ := Call(http.MethodGet, "http://"+s.Ready[relay]+"/v1/readiness", nil, time.Second)
	return status == http.StatusOK
}

// WaitReady waits until all relays are ready, and reports whether they are.
func (s *System) WaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for i := range s.Ready {
			if s.IsReady(i) {
				ready++
			}
		}
		if ready == len(s.Ready) {
			return true
		}
	}
	return false
}
