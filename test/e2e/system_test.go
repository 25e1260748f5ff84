// Package e2e_test runs the built programs as separate processes on loopback
// addresses, and kills, suspends and stops them under load.
package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianpond/internal/host/gateway"
	"gentianpond/test/fakes/searcher"
	"gentianpond/test/standin"
)

// awaitTimeout bounds the wait for a condition that has no time limit of its own.
const awaitTimeout = 30 * time.Second

// Paths of the built programs; TestMain sets them.
var program, fakeProgram string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the programs, runs the tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "gentianpond-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	for _, pkg := range []string{"./cmd/gentianpond", "./test/fakes/cmd/fakesearcher"} {
		c := exec.Command("go", "build", "-o", dir, pkg)
		c.Dir = filepath.Join("..", "..")
		if out, err := c.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", pkg, err, out)
			return 1
		}
	}
	program = filepath.Join(dir, "gentianpond")
	fakeProgram = filepath.Join(dir, "fakesearcher")
	return m.Run()
}

// process is one process of a program. It can be killed, suspended and started
// again.
type process struct {
	t       *testing.T
	name    string
	args    []string
	logPath string
	cmd     *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

func (p *process) start() {
	p.t.Helper()
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	require.NoError(p.t, err)
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	require.NoError(p.t, p.cmd.Start())
	done := make(chan struct{})
	p.exited = done
	go func(c *exec.Cmd) {
		_ = c.Wait()
		_ = out.Close()
		close(done)
	}(p.cmd)
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// awaitExit waits until the process ends and returns its exit code. The test fails
// after the timeout.
func (p *process) awaitExit(timeout time.Duration) int {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(timeout):
		p.t.Fatalf("%s did not exit in %s:\n%s", p.name, timeout, p.output())
	}
	return p.cmd.ProcessState.ExitCode()
}

// output returns what all starts of the process have written.
func (p *process) output() string {
	data, _ := os.ReadFile(p.logPath)
	return string(data)
}

// system is a set of control hosts, entry hosts and fake backend servers that run
// as separate processes on loopback addresses.
type system struct {
	t       *testing.T
	dir     string
	control []*process
	entries []*process
	fakes   []*process
	// controlInnerAddrs are the addresses of the control hosts for other hosts
	// and for commands.
	controlInnerAddrs []netip.AddrPort
	// entryInnerAddrs are the addresses of the entry hosts for other hosts,
	// entryAddrs those for callers and backend servers.
	entryInnerAddrs []netip.AddrPort
	entryAddrs      []netip.AddrPort
	fakeAddrs       []netip.AddrPort
	fakeSettings    []searcher.Settings
}

// systemShape holds the numbers of processes of a system, the first section of the
// configuration and the behavior of the fake backend servers.
type systemShape struct {
	control, entries, shards, replicas int
	section                            string
	behavior                           searcher.Behavior
}

const fourShardSection = `{"archives": {"albums": {"deadline": "1s", "ceiling": "4s", "shards": 4}}}`

// newSystem starts control hosts, entry hosts and fake backend servers and
// waits until a search covers every shard.
func newSystem(t *testing.T, s systemShape) *system {
	t.Helper()
	require.NoError(t, standin.TrackSources(filepath.Join("..", "..")))
	y := &system{t: t, dir: t.TempDir()}
	ports := freePorts(t, 2*s.control+2*s.entries+s.shards*s.replicas)
	takePorts := func(n int) []netip.AddrPort {
		taken := ports[:n]
		ports = ports[n:]
		return taken
	}
	y.controlInnerAddrs = takePorts(s.control)
	y.writeControl(takePorts(s.control))
	y.entryAddrs = takePorts(s.entries)
	y.entryInnerAddrs = takePorts(s.entries)
	y.writeEntries(y.entryInnerAddrs)
	y.fakeAddrs = takePorts(s.shards * s.replicas)
	t.Cleanup(y.stop)
	y.startControl()
	for _, p := range y.entries {
		p.start()
	}
	y.startFakes(s)
	y.apply("counter", 0, "first", s.section)
	y.await("a search that covers every shard on every entry host", func() bool {
		for _, addr := range y.entryAddrs {
			a, err := y.search(addr, `"ready"`, "bulk")
			if err != nil || a.Coverage.Shards != uint32(s.shards) || len(a.Coverage.Missing) > 0 {
				return false
			}
		}
		return true
	})
	return y
}

// freePorts returns n loopback addresses whose ports were free at the time of the
// call.
func freePorts(t *testing.T, n int) []netip.AddrPort {
	t.Helper()
	var ports []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return ports
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i%3+1) }

func (y *system) writeSettings(name string, v any) string {
	y.t.Helper()
	data, err := json.Marshal(v)
	require.NoError(y.t, err)
	path := filepath.Join(y.dir, name)
	require.NoError(y.t, os.WriteFile(path, data, 0o644))
	return path
}

func (y *system) newProcess(name string, args ...string) *process {
	return &process{t: y.t, name: name, args: args, logPath: filepath.Join(y.dir, name+".log")}
}

func (y *system) writeControl(listen []netip.AddrPort) {
	var hosts []map[string]any
	for i, addr := range y.controlInnerAddrs {
		hosts = append(hosts, map[string]any{"name": fmt.Sprintf("control-%d", i+1), "zone": zoneName(i), "address": addr})
	}
	for i, addr := range y.controlInnerAddrs {
		name := fmt.Sprintf("control-%d", i+1)
		path := y.writeSettings(name+".json", map[string]any{
			"name": name, "zone": zoneName(i), "listen": listen[i], "inner": addr, "data": filepath.Join(y.dir, name), "hosts": hosts,
		})
		y.control = append(y.control, y.newProcess(name, program, "control", "--settings", path))
	}
}

func (y *system) writeEntries(inner []netip.AddrPort) {
	for i, addr := range y.entryAddrs {
		name := fmt.Sprintf("entry-%d", i+1)
		path := y.writeSettings(name+".json", map[string]any{
			"name": name, "zone": zoneName(i), "listen": addr, "inner": inner[i], "control": y.controlInnerAddrs, "drain": "300ms", "trace": filepath.Join(y.dir, name+".spans"),
		})
		y.entries = append(y.entries, y.newProcess(name, program, "entry", "--settings", path))
	}
}

// startControl starts the control hosts and forms the group on the first one.
func (y *system) startControl() {
	y.t.Helper()
	for _, p := range y.control[1:] {
		p.start()
	}
	form := []string{"form", "--settings", filepath.Join(y.dir, "control-1.json")}
	y.await("forming the group", func() bool {
		out, err := exec.Command(program, form...).CombinedOutput()
		return err == nil || strings.Contains(string(out), "belongs to a group already")
	})
	y.control[0].start()
}

func (y *system) startFakes(s systemShape) {
	for shard := range s.shards {
		for replica := range s.replicas {
			y.fakeSettings = append(y.fakeSettings, searcher.Settings{
				Name: fmt.Sprintf("searcher-%d-%d", shard, replica), Zone: zoneName(replica), Listen: y.fakeAddrs[len(y.fakeSettings)],
				Slots: 3, Connections: 30, EntryAddresses: y.entryAddrs, Behavior: s.behavior, OrderLog: filepath.Join(y.dir, "orders"), Uptime: time.Minute,
				Served: []searcher.ServedSnapshot{{Archive: "albums", Snapshot: "1", Count: uint32(s.shards), Shards: []uint32{uint32(shard)}}},
			})
		}
	}
	for _, s := range y.fakeSettings {
		data, err := json.Marshal(s)
		require.NoError(y.t, err)
		p := y.newProcess(s.Name, fakeProgram, string(data))
		y.fakes = append(y.fakes, p)
		p.start()
	}
}

// checkLimits verifies that no backend server that still runs was ever asked to
// run more requests, or to hold more connections, than it announced.
func (y *system) checkLimits() {
	for i, s := range y.fakeSettings {
		stats, err := y.fetchStats(i)
		if err != nil {
			continue
		}
		assert.LessOrEqual(y.t, stats.MaxRunning, s.Slots, "%s ran more requests than it has slots", s.Name)
		assert.LessOrEqual(y.t, stats.MaxOpen, s.Connections, "%s held more connections than it allows", s.Name)
	}
}

// stop checks the limits, kills every process that still runs and shows the logs of
// a failed test.
func (y *system) stop() {
	y.checkLimits()
	all := append(append(append([]*process{}, y.control...), y.entries...), y.fakes...)
	for _, p := range all {
		if p.cmd != nil {
			p.kill()
			if y.t.Failed() {
				y.t.Logf("%s:\n%s", p.name, lastBytes(p.output()))
			}
		}
	}
}

func lastBytes(s string) string {
	const maxBytes = 4000
	if len(s) > maxBytes {
		return s[len(s)-maxBytes:]
	}
	return s
}

// await polls f until it returns true and returns how long that took. The test
// fails after awaitTimeout.
func (y *system) await(what string, f func() bool) time.Duration {
	y.t.Helper()
	start := time.Now()
	for time.Since(start) < awaitTimeout {
		if f() {
			return time.Since(start)
		}
		time.Sleep(50 * time.Millisecond)
	}
	y.t.Fatalf("timed out waiting for %s", what)
	return 0
}

// runProgram runs the program to its end and returns its output and exit code. The
// code is -1 if the program could not be run.
func (y *system) runProgram(args ...string) (string, int) {
	out, err := exec.Command(program, args...).CombinedOutput()
	if err == nil {
		return string(out), 0
	}
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(out), exit.ExitCode()
	}
	return err.Error(), -1
}

func (y *system) controlFlag() string {
	var list []string
	for _, a := range y.controlInnerAddrs {
		list = append(list, a.String())
	}
	return strings.Join(list, ",")
}

// apply replaces the given version of a section with the text, under a change id.
func (y *system) apply(team string, version int, id, text string) {
	y.t.Helper()
	path := filepath.Join(y.dir, id+".section.json")
	require.NoError(y.t, os.WriteFile(path, []byte(text), 0o644))
	out, code := y.runProgram("apply", "--control", y.controlFlag(), "--id", id, "--author", "test", "--replaces", fmt.Sprint(version), team, path)
	require.Zero(y.t, code, out)
}

var client = &http.Client{Timeout: 10 * time.Second}

// postJSON posts a request as JSON, without a retry, and decodes the answer.
func postJSON(addr netip.AddrPort, path string, header http.Header, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+addr.String()+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.GetBody = nil
	for k, v := range header {
		req.Header[k] = v
	}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	return json.NewDecoder(res.Body).Decode(answer)
}

func (y *system) search(addr netip.AddrPort, query, lane string) (gateway.SearchAnswer, error) {
	var a gateway.SearchAnswer
	r := gateway.SearchRequest{ID: query, Archive: "albums", Lane: lane, Query: json.RawMessage(query)}
	err := postJSON(addr, "/v1/search", nil, r, &a)
	return a, err
}

func (y *system) order(addr netip.AddrPort, key, body string) (gateway.OrderAnswer, error) {
	var a gateway.OrderAnswer
	r := gateway.OrderRequest{ID: key, Archive: "albums", Body: json.RawMessage(body)}
	err := postJSON(addr, "/v1/order", http.Header{gateway.IdempotencyKeyHeader: {key}}, r, &a)
	return a, err
}

// executions returns how often the backend servers began to run each order, by the
// body of the order.
func (y *system) executions() map[string]int {
	counts := map[string]int{}
	data, _ := os.ReadFile(filepath.Join(y.dir, "orders"))
	for line := range strings.SplitSeq(strings.TrimSpace(string(data)), "\n") {
		counts[line]++
	}
	return counts
}

// startParallel runs f in n goroutines, with the number of the goroutine, and
// returns the group to wait for.
func startParallel(n int, f func(int)) *sync.WaitGroup {
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() { f(i) })
	}
	return &group
}

// startLoad calls f repeatedly in n goroutines until the returned function is
// called, which waits for all of them. The arguments of f are the numbers of the
// goroutine and of the call.
func startLoad(n int, f func(w, i int)) (stop func()) {
	stopped := make(chan struct{})
	group := startParallel(n, func(w int) {
		for i := 0; ; i++ {
			select {
			case <-stopped:
				return
			default:
				f(w, i)
			}
		}
	})
	return func() {
		close(stopped)
		group.Wait()
	}
}
