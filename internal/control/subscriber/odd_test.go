package subscriber

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"gentianpond/internal/protocol/messenger"
)

// TestOddRegistrations guards against an entry host that stops following the registry, or
// uses a server that it cannot use, after a control host of another version has sent an odd
// registration.
func TestOddRegistrations(t *testing.T) {
	sound := func(name string) *messenger.Registration {
		return &messenger.Registration{Server: name, Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 1, Incarnation: 1, Sequence: 1}
	}
	odd := []*messenger.Registration{{}, {Server: "b", State: 99}}
	for _, change := range []func(*messenger.Registration){
		func(m *messenger.Registration) { m.Server = "a\r\nb: c" },
		func(m *messenger.Registration) { m.Address = "10.0.0.1:0" },
		func(m *messenger.Registration) { m.Address = "10.0.0.1:99999" },
		func(m *messenger.Registration) { m.Slots = 1 << 31 },
		func(m *messenger.Registration) { m.Service = "s\x00" },
	} {
		m := sound("odd")
		change(m)
		odd = append(odd, m)
	}
	var got RoutingState
	w := NewWatcher(WatcherConfig{Host: "h", OnChange: func(s RoutingState) { got = s }, Log: log.New(io.Discard)})
	for i, m := range odd {
		w.applyWatchReply(&messenger.WatchReply{Registry: uint64(i + 1), Registrations: []*messenger.Registration{m, sound("c")}}, time.Now())
		require.Len(t, got.Servers, 1, "%v", m)
		require.Equal(t, "c", got.Servers[0].Name)
	}
	complete := append(odd, sound("d"))
	w.applyWatchReply(&messenger.WatchReply{Registry: 100, Complete: true, Registrations: complete}, time.Now())
	require.Len(t, got.Servers, 1)
	require.Equal(t, "d", got.Servers[0].Name)
}
