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

// announceInterval and shareInterval are those of real servers and hosts.
const (
	announceInterval = 500 * time.Millisecond
	shareInterval    = 250 * time.Millisecond
)

// fleetSizes are the numbers of backend servers measured.
var fleetSizes = []int{100, 400, 1600}

// announcers is the number of connections over which announcements arrive.
const announcers = 16

// announcement returns the JSON of the i-th backend server.
func announcement(i int, sequence uint64) []byte {
	data, _ := json.Marshal(map[string]any{
		"server": fmt.Sprintf("searcher-%05d", i), "zone": fmt.Sprintf("zone-%02d", i%31), "incarnation": 1, "sequence": sequence,
		"address": netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(i >> 8), byte(i)}), 7000).String(),
		"slots":   3, "connections": 30, "load": 0.25, "started": "60s",
		"served": []any{map[string]any{"archive": "albums", "snapshot": "20261204", "count": 340, "shards": []int{i % 340}}},
	})
	return data
}

// announce plays n backend servers towards one entry host until ctx ends.
func announce(ctx context.Context, entry netip.AddrPort, n int, sent *atomic.Int64) *sync.WaitGroup {
	var group sync.WaitGroup
	for w := range announcers {
		group.Go(func() {
			client := &http.Client{Timeout: time.Second}
			for sequence := uint64(1); ctx.Err() == nil; sequence++ {
				start := time.Now()
				for i := w; i < n && ctx.Err() == nil; i += announcers {
					res, err := client.Post("http://"+entry.String()+"/v1/announce", "application/json", bytes.NewReader(announcement(i, sequence)))
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

// fleet measures an entry host against the number of backend servers that
// announce themselves to it.
func (m *measurement) fleet() error {
	fmt.Printf("\nEntry host against backend servers that announce to it every %s, window %s\n\n", announceInterval, m.window)
	fmt.Println("| backend servers | cores | memory MB | announcements/s |")
	fmt.Println("|---:|---:|---:|---:|")
	var x, cores, memory []float64
	for _, n := range fleetSizes {
		u, rate, err := m.fleetSize(n, nil)
		if err != nil {
			return err
		}
		fmt.Printf("| %d | %.3f | %.1f | %.0f |\n", n, u.cores, u.memory/1e6, rate)
		x = append(x, float64(n))
		cores = append(cores, u.cores)
		memory = append(memory, u.memory)
	}
	perServer, base := slope(x, cores)
	fmt.Printf("\nslope: %.6f cores per backend server announced, base %.4f\n", perServer, base)
	perServer, base = slope(x, memory)
	fmt.Printf("slope: %.0f bytes of memory per backend server, base %.1f MB\n", perServer, base/1e6)
	return nil
}

// fleetSize runs an entry host with n backend servers; during runs meanwhile.
func (m *measurement) fleetSize(n int, during func(context.Context, netip.AddrPort)) (usage, float64, error) {
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
	group := announce(ctx, listen, n, &sent)
	defer group.Wait()
	defer cancel()
	time.Sleep(settleTime)
	if during != nil {
		go during(ctx, inner)
	}
	sent.Store(0)
	start := time.Now()
	u, err := m.measure(entry)
	return u, float64(sent.Load()) / time.Since(start).Seconds(), err
}

// share measures the bytes that one peer pulls from an entry host, following
// what is new against asking for everything each time.
func (m *measurement) share() error {
	fmt.Printf("\nBytes that one peer pulls from an entry host every %s, window %s\n\n", shareInterval, m.window)
	fmt.Println("| backend servers | pulling what is new, bytes/s | per server | pulling everything, bytes/s |")
	fmt.Println("|---:|---:|---:|---:|")
	for _, n := range fleetSizes {
		fresh, err := m.shareSize(n, true)
		if err != nil {
			return err
		}
		all, err := m.shareSize(n, false)
		if err != nil {
			return err
		}
		fmt.Printf("| %d | %.0f | %.1f | %.0f |\n", n, fresh, fresh/float64(n), all)
	}
	return nil
}

func (m *measurement) shareSize(n int, follow bool) (float64, error) {
	var bytes meter
	var start time.Time
	_, _, err := m.fleetSize(n, func(ctx context.Context, inner netip.AddrPort) {
		start = time.Now()
		pull(ctx, inner, &bytes, follow)
	})
	return float64(bytes.bytes.Load()) / time.Since(start).Seconds(), err
}

// pull plays a peer. A peer that does not follow asks for everything from the
// start, page by page, each time.
func pull(ctx context.Context, inner netip.AddrPort, bytes *meter, follow bool) {
	conn, err := messenger.Dial(inner, grpc.WithContextDialer(bytes.dial))
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	client := messenger.NewEntryClient(conn)
	var incarnation, last uint64
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if !follow {
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
