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

// syncInterval equals the sync interval of real entry hosts.
const syncInterval = 500 * time.Millisecond

// settleTime is how long the hosts run before a size is measured.
const settleTime = 4 * time.Second

// entryHostCounts are the numbers of entry hosts measured.
var entryHostCounts = []int{100, 400, 1600}

// byteMeter counts the bytes of connections in both directions.
type byteMeter struct{ total atomic.Int64 }

// dial opens a TCP connection whose bytes m counts.
func (m *byteMeter) dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: c, meter: m}, nil
}

// meteredConn is a connection that counts its bytes in meter.
type meteredConn struct {
	net.Conn
	meter *byteMeter
}

// Read reads from the connection and counts the received bytes.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.total.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the sent bytes.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.total.Add(int64(n))
	return n, err
}

// simulatedEntry is an entry host as the control host sees it: it only syncs.
type simulatedEntry struct {
	member *messenger.Member
	client messenger.ControlClient
	// adoptedView is the number of the latest view received.
	adoptedView uint64
	// grantedSyncs counts the granted syncs of all simulated entry hosts.
	grantedSyncs *atomic.Int64
}

// run syncs at each interval until ctx ends. The offset delays the first sync, so
// that the syncs of all entry hosts spread over the interval.
func (h *simulatedEntry) run(ctx context.Context, offset time.Duration) {
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

// sync reports the adopted view to the control host. A failed sync is left to
// the next interval.
func (h *simulatedEntry) sync(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	r, err := h.client.Sync(ctx, &messenger.SyncRequest{Member: h.member, Adopted: h.adoptedView, Released: h.adoptedView})
	if err != nil {
		return
	}
	h.adoptedView = max(h.adoptedView, r.GetView().GetNumber())
	if r.GetGranted() {
		h.grantedSyncs.Add(1)
	}
}

// measureSync prints the CPU, memory and traffic of a control host by the number
// of entry hosts that sync with it.
func (m *measurement) measureSync() error {
	fmt.Printf("\nControl host against entry hosts, a sync every %s each, window %s\n\n", syncInterval, m.window)
	fmt.Println("| entry hosts | cores | memory MB | bytes/s per host | syncs granted/s | join: bytes per host |")
	fmt.Println("|---:|---:|---:|---:|---:|---:|")
	var x, cores, memory []float64
	for _, n := range entryHostCounts {
		row, err := m.measureEntryHosts(n)
		if err != nil {
			return err
		}
		fmt.Printf("| %d | %.3f | %.1f | %.0f | %.0f | %.0f |\n", n, row.cores, row.memoryBytes/1e6, row.bytesPerHost, row.grantsPerSecond, row.joinBytesPerHost)
		x = append(x, float64(n))
		cores = append(cores, row.cores)
		memory = append(memory, row.memoryBytes)
	}
	perHost, base := fitLine(x, cores)
	fmt.Printf("\nslope: %.6f cores per entry host, base %.4f\n", perHost, base)
	perHost, base = fitLine(x, memory)
	fmt.Printf("slope: %.0f bytes of memory per entry host, base %.1f MB\n", perHost, base/1e6)
	return nil
}

// syncCost is what a control host spends on a number of entry hosts.
type syncCost struct {
	usage
	// bytesPerHost is per second. joinBytesPerHost is the traffic up to the start
	// of the measurement, in which the hosts join.
	bytesPerHost, grantsPerSecond, joinBytesPerHost float64
}

// measureEntryHosts runs a control host with n simulated entry hosts.
func (m *measurement) measureEntryHosts(n int) (syncCost, error) {
	control, addr, err := m.startControl()
	if err != nil {
		return syncCost{}, err
	}
	defer control.stop()
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	var meter byteMeter
	var granted atomic.Int64
	for i := range n {
		conn, err := messenger.Dial(addr, grpc.WithContextDialer(meter.dial))
		if err != nil {
			return syncCost{}, err
		}
		defer func() { _ = conn.Close() }()
		h := &simulatedEntry{member: entryMember(i), client: messenger.NewControlClient(conn), grantedSyncs: &granted}
		group.Go(func() { h.run(ctx, syncInterval*time.Duration(i)/time.Duration(n)) })
	}
	time.Sleep(settleTime)
	joinBytes := float64(meter.total.Load()) / float64(n)
	meter.total.Store(0)
	granted.Store(0)
	start := time.Now()
	u, err := m.measureUsage(control)
	took := time.Since(start).Seconds()
	return syncCost{
		usage: u, bytesPerHost: float64(meter.total.Load()) / float64(n) / took, grantsPerSecond: float64(granted.Load()) / took, joinBytesPerHost: joinBytes,
	}, err
}

// entryMember returns the i-th entry host, spread over the target's 31 zones.
func entryMember(i int) *messenger.Member {
	return &messenger.Member{
		Name: fmt.Sprintf("entry-%04d", i), Zone: fmt.Sprintf("zone-%02d", i%31),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 9080).String(), Incarnation: uint64(i + 1),
	}
}
