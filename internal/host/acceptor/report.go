package acceptor

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

// reportInterval is the least time between two log lines about refused or disconnected clients of a
// port.
const reportInterval = time.Second

// eventReporter counts and logs the clients of a port that were refused or disconnected.
type eventReporter struct {
	// name is that of the port.
	name string
	// log may be nil.
	log   *log.Logger
	scope tally.Scope

	// mu guards the fields below.
	mu sync.Mutex
	// lastReport is when the last line was logged, and unreported the number of events since.
	lastReport time.Time
	unreported int
}

// report counts an event and logs one line a second, with the connections of the port and the memory
// that they hold in bytes.
func (e *eventReporter) report(event, cause string, connections int, used int64) {
	e.scope.Tagged(map[string]string{"cause": cause}).Counter("client_" + event).Inc(1)
	now := time.Now()
	e.mu.Lock()
	e.unreported++
	n := e.unreported
	due := now.Sub(e.lastReport) >= reportInterval
	if due {
		e.lastReport, e.unreported = now, 0
	}
	e.mu.Unlock()
	if due && e.log != nil {
		e.log.Warn("client refused or disconnected", "port", e.name, "event", event, "cause", cause, "events", n, "connections", connections, "bytes", used)
	}
}
