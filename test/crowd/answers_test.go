package crowd_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/host/gateway"
	"gentianpond/test/fakes/searcher"
	"gentianpond/test/standin"
)

const (
	// ownShards is the number of shards of the archive whose servers send without end, and
	// ownReplicas the number of servers of each, all but one of which do.
	ownShards   = 4
	ownReplicas = 4
	// endlessTime is how long the callers come.
	endlessTime = 7 * time.Second
	// hitBytes is the size of the hits of sound servers. They need memory for answers.
	hitBytes = 20 << 10
)

// ownSystem is a control host and two entry hosts of the project's own interface.
type ownSystem struct {
	t       *testing.T
	entries []netip.AddrPort
	pids    []int
	// faulty holds the servers that send without end, all of the archive "albums", and sound
	// the others, some of the archive "calm".
	faulty, sound []*searcher.Server
}

// startOwn starts an ownSystem and waits until both archives are served.
func startOwn(t *testing.T) *ownSystem {
	if testing.Short() {
		t.Skip("starts processes")
	}
	require.NoError(t, standin.TrackSources(filepath.Join("..", "..")))
	y := &ownSystem{t: t}
	folder := t.TempDir()
	binary := build(t, folder)
	control := netip.MustParseAddrPort(fmt.Sprintf("127.0.74.210:%d", port+1))
	y.startProcess(binary, folder, "control", control, fmt.Sprintf(`"data":%q,"hosts":[{"name":"control-210","zone":"z","address":%q}]`, filepath.Join(folder, "data"), control))
	machine := fmt.Sprintf(`"memory":%d,"files":%d,`, memoryMiB, files)
	if *plain {
		machine = ""
	}
	for _, number := range []string{"211", "212"} {
		inner := netip.MustParseAddrPort(fmt.Sprintf("127.0.74.%s:%d", number, port+1))
		y.pids = append(y.pids, y.startProcess(binary, folder, "entry", inner, fmt.Sprintf(`%s"control":[%q]`, machine, control)))
		y.entries = append(y.entries, netip.AddrPortFrom(inner.Addr(), port))
	}
	for shard := range uint32(ownShards) {
		for replica := range ownReplicas {
			s := y.startServer("albums", ownShards, shard, replica)
			if replica == 0 {
				y.sound = append(y.sound, s)
			} else {
				y.faulty = append(y.faulty, s)
			}
		}
	}
	for replica := range 2 {
		y.sound = append(y.sound, y.startServer("calm", 1, 0, replica))
	}
	section := filepath.Join(folder, "section.json")
	archive := `{"deadline":"2s","ceiling":"4s","shards":%d}`
	require.NoError(t, os.WriteFile(section, fmt.Appendf(nil, `{"archives":{"albums":`+archive+`,"calm":`+archive+`}}`, ownShards, 1), 0o600))
	require.Eventually(t, func() bool {
		return exec.Command(binary, "apply", "--control", control.String(), "counter", section).Run() == nil
	}, 10*time.Second, 100*time.Millisecond)
	y.requireServed()
	return y
}

// startProcess forms and starts a control host, or starts an entry host, with the settings in
// more, and returns the id of the process.
func (y *ownSystem) startProcess(binary, folder, role string, inner netip.AddrPort, more string) int {
	name := fmt.Sprintf("%s-%d", role, inner.Addr().As4()[3])
	settings := filepath.Join(folder, name+".json")
	listen := netip.AddrPortFrom(inner.Addr(), port)
	text := fmt.Sprintf(`{"name":%q,"zone":"z","listen":%q,"inner":%q,%s}`, name, listen, inner, more)
	require.NoError(y.t, os.WriteFile(settings, []byte(text), 0o600))
	if role == "control" {
		out, err := exec.Command(binary, "form", "--settings", settings).CombinedOutput()
		require.NoError(y.t, err, "%s", out)
	}
	p := exec.Command(binary, role, "--settings", settings)
	log, err := os.Create(filepath.Join(folder, name+".log"))
	require.NoError(y.t, err)
	p.Stdout, p.Stderr = log, log
	require.NoError(y.t, p.Start())
	y.t.Cleanup(func() {
		_ = p.Process.Kill()
		_ = p.Wait()
		_ = log.Close()
	})
	return p.Process.Pid
}

// startServer starts a backend server of one shard.
func (y *ownSystem) startServer(archive string, shards, shard uint32, replica int) *searcher.Server {
	s, err := searcher.Start(y.t.Context(), searcher.Settings{
		Name: fmt.Sprintf("%s-%d-%d", archive, shard, replica), Zone: "z", Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Slots: 8, Connections: 30, EntryAddresses: y.entries, Uptime: time.Minute,
		Served: []searcher.ServedSnapshot{{Archive: archive, Snapshot: "1", Count: shards, Shards: []uint32{shard}}},
	})
	require.NoError(y.t, err)
	y.t.Cleanup(s.Stop)
	return s
}

// search searches an archive at an entry host.
func (y *ownSystem) search(entry int, archive, query string) (a gateway.SearchAnswer) {
	body := fmt.Appendf(nil, `{"archive":%q,"query":%q}`, archive, query)
	_, data := standin.Call(http.MethodPost, "http://"+y.entries[entry].String()+"/v1/search", body, 5*time.Second)
	_ = json.Unmarshal(data, &a)
	return a
}

// order sends an order to an archive.
func (y *ownSystem) order(entry int, archive, text string) (a gateway.OrderAnswer) {
	body := fmt.Appendf(nil, `{"archive":%q,"body":%q}`, archive, text)
	_, data := standin.Call(http.MethodPost, "http://"+y.entries[entry].String()+"/v1/order", body, 5*time.Second)
	_ = json.Unmarshal(data, &a)
	return a
}

// requireServed requires that both entry hosts serve searches that cover all shards, and orders.
func (y *ownSystem) requireServed() {
	y.t.Helper()
	n := 0
	for entry := range y.entries {
		for archive, shards := range map[string]uint32{"albums": ownShards, "calm": 1} {
			require.Eventually(y.t, func() bool {
				n++
				a := y.search(entry, archive, fmt.Sprint("ready-", n))
				return a.Outcome == gateway.OutcomeRan && a.Coverage.Answered == shards
			}, 20*time.Second, 50*time.Millisecond, "search of %s at entry host %d", archive, entry)
			require.Eventually(y.t, func() bool {
				n++
				return y.order(entry, archive, fmt.Sprint("ready-", n)).Outcome == gateway.OutcomeRan
			}, 20*time.Second, 50*time.Millisecond, "order to %s at entry host %d", archive, entry)
		}
	}
}

// TestEndlessAnswers guards against backend servers that send bytes which are no answer, without
// end: they must take neither the memory of the entry hosts nor the answers of other callers, and
// none of the requests is at fault.
func TestEndlessAnswers(t *testing.T) {
	y := startOwn(t)
	for i, s := range y.faulty {
		s.SetBehavior(searcher.Behavior{Endless: searcher.EndlessKinds[i%len(searcher.EndlessKinds)]})
	}
	for _, s := range y.sound {
		s.SetBehavior(searcher.Behavior{HitBytes: hitBytes})
	}
	var answered, calm, calmTries, quarantined atomic.Int64
	var mu sync.Mutex
	var notRun []string
	var group sync.WaitGroup
	end := time.Now().Add(endlessTime)
	for n := range 120 {
		group.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				text, entry := fmt.Sprintf("%d-%d", n, i), n%len(y.entries)
				code := ""
				switch n % 4 {
				case 0:
					// The same search comes again and again.
					a := y.search(entry, "albums", "popular")
					code = a.Code
					answered.Add(int64(a.Coverage.Answered))
				case 1:
					a := y.search(entry, "albums", text)
					code = a.Code
					answered.Add(int64(a.Coverage.Answered))
				case 2:
					a := y.order(entry, "albums", text)
					code = a.Code
					if a.Outcome == gateway.OutcomeNotRun {
						mu.Lock()
						notRun = append(notRun, text)
						mu.Unlock()
					}
				default:
					calmTries.Add(1)
					if y.search(entry, "calm", text).Outcome == gateway.OutcomeRan && y.order(entry, "calm", text).Outcome == gateway.OutcomeRan {
						calm.Add(1)
					}
				}
				if code == gateway.CodeQuarantined {
					quarantined.Add(1)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	group.Wait()
	t.Logf("%d parts of searches, %d of %d pairs of a search and an order of another archive, %d quarantined", answered.Load(), calm.Load(), calmTries.Load(), quarantined.Load())
	for entry, pid := range y.pids {
		requireBounded(t, fmt.Sprint("entry host ", entry), pid, memoryMiB, files)
	}
	require.Positive(t, answered.Load(), "sound servers answer searches")
	require.Positive(t, calm.Load(), "another archive is served")
	require.Zero(t, quarantined.Load(), "requests that end no server are refused")
	for _, s := range slices.Concat(y.faulty, y.sound) {
		bodies := s.Stats().Bodies
		for _, text := range notRun {
			require.Zero(t, bodies[fmt.Sprintf("%q", text)], "order %s was called not run", text)
		}
	}
	for _, s := range y.faulty {
		s.SetBehavior(searcher.Behavior{})
	}
	y.requireServed()
	for entry, pid := range y.pids {
		requireBounded(t, fmt.Sprint("entry host ", entry), pid, memoryMiB, files)
	}
}

// TestCommandsOfEndlessAnswers guards against commands of the program that read an answer without
// end until their memory is used up.
func TestCommandsOfEndlessAnswers(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	require.NoError(t, standin.TrackSources(filepath.Join("..", "..")))
	binary := build(t, t.TempDir())
	block := []byte(strings.Repeat(" ", 64<<10))
	var sent atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"reason":"`))
		for sent.Load() < 1<<30 {
			n, err := w.Write(block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}), ReadHeaderTimeout: time.Second}
	address := fmt.Sprintf("127.0.74.220:%d", port)
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	for _, args := range [][]string{
		{"search", "--entry", address, "a", "1"}, {"order", "--entry", address, "a", "1"}, {"place", "--relay", address, "host.example", "/x"},
	} {
		sent.Store(0)
		out, err := exec.Command(binary, args...).CombinedOutput()
		require.Error(t, err, "%s: %s", args, out[:min(len(out), 500)])
		require.Less(t, len(out), 10<<10, "%s", args[0])
		require.Contains(t, string(out), "too large", "%s", args[0])
		require.Less(t, sent.Load(), int64(256<<20), "%s reads on", args[0])
	}
}

// TestEndlessServers is TestEndlessAnswers for a relay: three of four servers of each service send
// without end.
func TestEndlessServers(t *testing.T) {
	y := start(t)
	random := rand.New(rand.NewPCG(3, 4))
	var faulty []*standin.Backend
	for i, service := range append([]string{standin.OrderService}, standin.ShardServices...) {
		for j := range 3 {
			b, err := standin.StartBackend(fmt.Sprintf("e-%s-%d", service, j), service, "z0", y.ControlAddresses, random.Float64, nil)
			require.NoError(t, err)
			t.Cleanup(b.Crash)
			b.SetBehavior(standin.Behavior{Endless: searcher.EndlessKinds[(3*i+j)%len(searcher.EndlessKinds)]})
			faulty = append(faulty, b)
		}
	}
	var served atomic.Int64
	var mu sync.Mutex
	var refused []string
	var group sync.WaitGroup
	end := time.Now().Add(endlessTime)
	serviceOf := func(id string) string { return id[2 : len(id)-len("-0")] }
	for n := range 120 {
		group.Go(func() {
			c := &standin.Client{Address: y.EntryAddresses[0], ServiceOf: func(id string) string {
				if strings.HasPrefix(id, "i-") {
					return id[2:]
				}
				return serviceOf(id)
			}}
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("endless-%d-%d", n, i)
				o := standin.Outcome{}
				switch n % 3 {
				case 0:
					o = c.Search(id, id)
				case 1:
					o = c.Fetch(id, id)
				default:
					o = c.Order(id, id)
				}
				if o.Served {
					served.Add(1)
				}
				if standin.NotRun(o.Status) {
					mu.Lock()
					refused = append(refused, id)
					mu.Unlock()
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	group.Wait()
	t.Logf("%d requests served, %d refused", served.Load(), len(refused))
	y.requireBounded(y.Relays[0])
	require.Positive(t, served.Load())
	runs := map[string]int{}
	for _, b := range faulty {
		b.ForEachRun(func(id string, n int) { runs[id] += n })
	}
	for _, id := range refused {
		require.Zero(t, runs[id], "request %s was refused and ran", id)
	}
	for _, b := range faulty {
		b.SetBehavior(standin.Behavior{})
	}
	y.requireServed()
	y.requireBounded(y.Relays[0])
}
