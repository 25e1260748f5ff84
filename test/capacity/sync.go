package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"gentianpond/internal/protocol/messenger"
)

// syncInterval is the interval of real entry hosts.
const syncInterval = 500 * time.Millisecond

// settleTime is how long the hosts run before a size is measured.
const settleTime = 4 * time.Second

// syncSizes are the numbers of entry hosts measured.
var syncSizes = []int{100, 400, 1600}

// meter counts the bytes of connections in both directions.
type meter struct{ bytes atomic.Int64 }

func (m *meter) dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: c, meter: m}, nil
}

type meteredConn struct {
	net.Conn
	meter *meter
}

// Read counts what arrived.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// Write counts what was sent.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// host plays one entry host towards control.
type host struct {
	member  *messenger.Member
	client  messenger.ControlClient
	adopted uint64
	granted *atomic.Int64
}

func (h *host) run(ctx context.Context, offset time.Duration) {
	time.Sleep(offset)
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		h.sync(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (h *host) sync(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	r, err := h.client.Sync(ctx, &messenger.SyncRequest{Member: h.member, Adopted: h.adopted, Released: h.adopted})
	if err != nil {
		return
	}
	h.adopted = max(h.adopted, r.GetView().GetNumber())
	if r.GetGranted() {
		h.granted.Add(1)
	}
}

// sync measures a control host against the number of entry hosts.
func (m *measurement) sync() error {
	fmt.Printf("\nControl host against entry hosts, a sync every %s each, window %s\n\n", syncInterval, m.window)
	fmt.Println("| entry hosts | cores | memory MB | bytes/s per host | syncs granted/s | join: bytes per host |")
	fmt.Println("|---:|---:|---:|---:|---:|---:|")
	var x, cores, memory []float64
	for _, n := range syncSizes {
		row, err := m.syncSize(n)
		if err != nil {
			return err
		}
		fmt.Printf("| %d | %.3f | %.1f | %.0f | %.0f | %.0f |\n", n, row.cores, row.memory/1e6, row.bytes, row.granted, row.join)
		x = append(x, float64(n))
		cores = append(cores, row.cores)
		memory = append(memory, row.memory)
	}
	perHost, base := slope(x, cores)
	fmt.Printf("\nslope: %.6f cores per entry host, base %.4f\n", perHost, base)
	perHost, base = slope(x, memory)
	fmt.Printf("slope: %.0f bytes of memory per entry host, base %.1f MB\n", perHost, base/1e6)
	return nil
}

type syncRow struct {
	usage
	bytes, granted, join float64
}

func (m *measurement) syncSize(n int) (syncRow, error) {
	control, addr, err := m.startControl()
	if err != nil {
		return syncRow{}, err
	}
	defer control.stop()
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	var bytes meter
	var granted atomic.Int64
	for i := range n {
		conn, err := messenger.Dial(addr, grpc.WithContextDialer(bytes.dial))
		if err != nil {
			return syncRow{}, err
		}
		defer func() { _ = conn.Close() }()
		h := &host{member: member(i), client: messenger.NewControlClient(conn), granted: &granted}
		group.Go(func() { h.run(ctx, syncInterval*time.Duration(i)/time.Duration(n)) })
	}
	time.Sleep(settleTime)
	join := float64(bytes.bytes.Load()) / float64(n)
	bytes.bytes.Store(0)
	granted.Store(0)
	start := time.Now()
	u, err := m.measure(control)
	took := time.Since(start).Seconds()
	return syncRow{
		usage: u, bytes: float64(bytes.bytes.Load()) / float64(n) / took, granted: float64(granted.Load()) / took, join: join,
	}, err
}

// member returns the i-th entry host, spread over the target's 31 zones.
func member(i int) *messenger.Member {
	return &messenger.Member{
		Name: fmt.Sprintf("entry-%04d", i), Zone: fmt.Sprintf("zone-%02d", i%31),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 9080).String(), Incarnation: uint64(i + 1),
	}
}
