package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Shards are the services of the fan-out, Orders that of single requests.
var Shards = []string{"shard-a", "shard-b", "shard-c", "shard-d"}

// Orders is the service of single requests.
const Orders = "orders"

// The hosts of the routes.
const (
	SearchHost = "search.example"
	OrderHost  = "order.example"
)

// Least is the least share of shards of the fan-out.
const Least = 0.75

// Document returns a routing document. Extra routes make it longer.
func Document(version uint64, extra int) []byte {
	routes := []map[string]any{
		{"name": "search", "host": SearchHost, "pathPrefix": "/s/", "kind": "safe", "timeoutMs": 2000, "targetLatencyMs": 200, "priority": 1,
			"attempts": 2, "fanoutServices": Shards, "topK": 6, "minShardFraction": Least},
		{"name": "fetch", "host": OrderHost, "pathPrefix": "/f/", "kind": "safe", "timeoutMs": 2000, "targetLatencyMs": 400, "priority": 2,
			"attempts": 2, "service": Orders},
		{"name": "order", "host": OrderHost, "pathPrefix": "/o/", "kind": "unsafe", "timeoutMs": 2000, "targetLatencyMs": 400, "priority": 0,
			"attempts": 2, "service": Orders},
	}
	for i := range extra {
		routes = append(routes, map[string]any{"name": fmt.Sprint("extra-", i), "host": "extra.example", "pathPrefix": fmt.Sprintf("/%d/%d/", version, i),
			"kind": "safe", "timeoutMs": 500, "targetLatencyMs": 100, "priority": 3, "attempts": 1, "service": Orders})
	}
	var services []map[string]any
	for _, name := range append([]string{Orders}, Shards...) {
		services = append(services, map[string]any{"name": name, "healthPath": "/health", "connectionLimit": 30, "protocol": "h1", "tls": false})
	}
	text, err := json.Marshal(map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
	if err != nil {
		panic(err)
	}
	return text
}

// Operator publishes documents and checks that none is lost.
type Operator struct {
	Control []string

	mu    sync.Mutex
	next  int
	acked uint64
}

func (o *Operator) host() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.next++
	return o.Control[o.next%len(o.Control)]
}

// Publish sends a document until it is acknowledged, for at most the given time.
// It returns a complaint if a valid document is refused.
func (o *Operator) Publish(version uint64, extra int, limit time.Duration) (acked bool, complaint string) {
	text := Document(version, extra)
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		status, body := Call(http.MethodPut, "http://"+o.host()+"/v1/configuration", text, 1500*time.Millisecond)
		switch {
		case status == http.StatusOK:
			o.mu.Lock()
			o.acked = max(o.acked, version)
			o.mu.Unlock()
			return true, ""
		case status >= 400 && status < 500:
			return false, fmt.Sprintf("valid document %d was refused with %d: %s", version, status, body)
		}
	}
	return false, ""
}

// Acked returns the highest version that was acknowledged.
func (o *Operator) Acked() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.acked
}

// Read reads the document from one control host. It returns a complaint if it is
// older than what had been acknowledged before.
func (o *Operator) Read() (answered bool, complaint string) {
	want := o.Acked()
	status, body := Call(http.MethodGet, "http://"+o.host()+"/v1/configuration", nil, 1500*time.Millisecond)
	if status != http.StatusOK {
		return false, ""
	}
	var d struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(body, &d); err != nil {
		return true, "document read back is damaged: " + err.Error()
	}
	if d.Version < want {
		return true, fmt.Sprintf("document %d was read after %d had been acknowledged", d.Version, want)
	}
	return true, ""
}
