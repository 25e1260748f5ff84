package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"gentianpond/internal/protocol/messenger"
)

// announceInterval and shareInterval equal those of real backend servers and
// entry hosts.
const (
	announceInterval = 500 * time.Millisecond
	shareInterval    = 250 * time.Millisecond
)

// serverCounts are the numbers of backend servers measured.
var serverCounts = []int{100, 400, 1600}

// announceWorkers is the number of connections over which the simulated backend
// servers announce themselves.
const announceWorkers = 16

// announcementJSON returns the announcement of the i-th backend server.
func announcementJSON(i int, sequence uint64) []byte {
	data, _ := json.Marshal(map[string]any{
		"server": fmt.Sprintf("searcher-%05d", i), "zone": fmt.Sprintf("zone-%02d", i%31), "incarnation": 1, "sequence": sequence,
		"address": netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(i >> 8), byte(i)}), 7000).String(),
		"slots":   3, "connections": 30, "load": 0.25, "started": "60s",
		"served": []any{map[string]any{"archive": "albums", "snapshot": "20261204", "count": 340, "shards": []int{i % 340}}},
	})
	return data
}

// announceServers announces n simulated backend servers to one entry host until
// ctx ends, and counts the announcements in sent. The caller waits for the group
// after it has cancelled ctx.
func announceServers(ctx context.Context, entry netip.AddrPort, n int, sent *atomic.Int64) *sync.WaitGroup {
	var group sync.WaitGroup
	for w := range announceWorkers {
		group.Go(func() {
			client := &http.Client{Timeout: time.Second}
			for sequence := uint64(1); ctx.Err() == nil; sequence++ {
				start := time.Now()
				for i := w; i < n && ctx.Err() == nil; i += announceWorkers {
					res, err := client.Post("http://"+entry.String()+"/v1/announce", "application/json", bytes.NewReader(announcementJSON(i, sequence)))
					if err != nil {
						continue
					}
					_, _ = io.Copy(io.Discard, res.Body)
					_ = res.Body.Close()
					sent.Add(1)
				}
				time.Sleep(time.Until(start.Add(announceInterval)))
			}
		})
	}
	return &group
}

// measureFleet prints the CPU and memory of an entry host by the number of
// backend servers that announce themselves to it.
func (m *measurement) measureFleet() error {
	fmt.Printf("\nEntry host against backend servers that announce to it every %s, window %s\n\n", announceInterval, m.window)
	fmt.Println("| backend servers | cores | memory MB | announcements/s |")
	fmt.Println("|---:|---:|---:|---:|")
	var x, cores, memory []float64
	for _, n := range serverCounts {
		u, rate, err := m.measureServers(n, nil)
		if err != nil {
			return err
		}
		fmt.Printf("| %d | %.3f | %.1f | %.0f |\n", n, u.cores, u.memoryBytes/1e6, rate)
		x = append(x, float64(n))
		cores = append(cores, u.cores)
		memory = append(memory, u.memoryBytes)
	}
	perServer, base := fitLine(x, cores)
	fmt.Printf("\nslope: %.6f cores per backend server announced, base %.4f\n", perServer, base)
	perServer, base = fitLine(x, memory)
	fmt.Printf("slope: %.0f bytes of memory per backend server, base %.1f MB\n", perServer, base/1e6)
	return nil
}

// measureServers runs an entry host with n simulated backend servers and returns
// its usage and the announcements per second. During is called with the entry
// host's inner address and runs beside the measurement.
func (m *measurement) measureServers(n int, during func(context.Context, netip.AddrPort)) (usage, float64, error) {
	control, addr, err := m.startControl()
	if err != nil {
		return usage{}, 0, err
	}
	defer control.stop()
	entry, listen, inner, err := m.startEntry(addr)
	if err != nil {
		return usage{}, 0, err
	}
	defer entry.stop()
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var sent atomic.Int64
	group := announceServers(ctx, listen, n, &sent)
	defer group.Wait()
	defer cancel()
	time.Sleep(settleTime)
	if during != nil {
		go during(ctx, inner)
	}
	sent.Store(0)
	start := time.Now()
	u, err := m.measureUsage(entry)
	return u, float64(sent.Load()) / time.Since(start).Seconds(), err
}

// measureShare prints the bytes per second that one peer pulls from an entry
// host: only what is new, and everything each time.
func (m *measurement) measureShare() error {
	fmt.Printf("\nBytes that one peer pulls from an entry host every %s, window %s\n\n", shareInterval, m.window)
	fmt.Println("| backend servers | pulling what is new, bytes/s | per server | pulling everything, bytes/s |")
	fmt.Println("|---:|---:|---:|---:|")
	for _, n := range serverCounts {
		incremental, err := m.measureShareRate(n, true)
		if err != nil {
			return err
		}
		full, err := m.measureShareRate(n, false)
		if err != nil {
			return err
		}
		fmt.Printf("| %d | %.0f | %.1f | %.0f |\n", n, incremental, incremental/float64(n), full)
	}
	return nil
}

// measureShareRate returns the bytes per second that one peer exchanges with an
// entry host that knows n backend servers.
func (m *measurement) measureShareRate(n int, incremental bool) (float64, error) {
	var meter byteMeter
	var start time.Time
	_, _, err := m.measureServers(n, func(ctx context.Context, inner netip.AddrPort) {
		start = time.Now()
		pullShares(ctx, inner, &meter, incremental)
	})
	return float64(meter.total.Load()) / time.Since(start).Seconds(), err
}

// pullShares simulates a peer that pulls from an entry host until ctx ends. An
// incremental peer asks for what is new since its last pull, any other asks for
// everything from the start, page by page, each time.
func pullShares(ctx context.Context, inner netip.AddrPort, meter *byteMeter, incremental bool) {
	conn, err := messenger.Dial(inner, grpc.WithContextDialer(meter.dial))
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	client := messenger.NewEntryClient(conn)
	var incarnation, last uint64
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if !incremental {
			last = 0
		}
		for range 1000 {
			r, err := client.Share(ctx, &messenger.ShareRequest{Host: "peer", Incarnation: incarnation, Since: last})
			if err != nil {
				break
			}
			incarnation = r.GetIncarnation()
			done := len(r.GetShared()) == 0 || r.GetLast() == last
			last = r.GetLast()
			if done {
				break
			}
		}
		<-ticker.C
	}
}
