package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// ShardServices are the services that a search fans out to, one for each shard.
var ShardServices = []string{"shard-a", "shard-b", "shard-c", "shard-d"}

// OrderService is the service of requests that one server answers.
const OrderService = "orders"

// Values of the Host header that the routes match.
const (
	SearchHost = "search.example"
	OrderHost  = "order.example"
)

// MinShardFraction is the share of the shards that have to answer a search.
const MinShardFraction = 0.75

// Document returns a routing document. The number of extra routes, which no
// client uses, makes it longer.
func Document(version uint64, extra int) []byte { return DocumentOf(version, extra) }

// Account is a client account of a routing document.
type Account struct {
	Name     string   `json:"name"`
	Keys     []string `json:"apiKeys"`
	Rate     float64  `json:"ratePerS"`
	Burst    float64  `json:"burst"`
	Priority int      `json:"priority"`
}

// DocumentOf returns a routing document with client accounts. Without any, requests need no
// key.
func DocumentOf(version uint64, extra int, accounts ...Account) []byte {
	routes := []map[string]any{
		{"name": "search", "host": SearchHost, "pathPrefix": "/s/", "kind": "safe", "timeoutMs": 2000, "targetLatencyMs": 200, "priority": 1,
			"attempts": 2, "fanoutServices": ShardServices, "topK": 6, "minShardFraction": MinShardFraction},
		{"name": "fetch", "host": OrderHost, "pathPrefix": "/f/", "kind": "safe", "timeoutMs": 2000, "targetLatencyMs": 400, "priority": 2,
			"attempts": 2, "service": OrderService},
		{"name": "order", "host": OrderHost, "pathPrefix": "/o/", "kind": "unsafe", "timeoutMs": 2000, "targetLatencyMs": 400, "priority": 0,
			"attempts": 2, "service": OrderService},
	}
	for i := range extra {
		routes = append(routes, map[string]any{"name": fmt.Sprint("extra-", i), "host": "extra.example", "pathPrefix": fmt.Sprintf("/%d/%d/", version, i),
			"kind": "safe", "timeoutMs": 500, "targetLatencyMs": 100, "priority": 3, "attempts": 1, "service": OrderService})
	}
	var services []map[string]any
	for _, name := range append([]string{OrderService}, ShardServices...) {
		services = append(services, map[string]any{"name": name, "healthPath": "/health", "connectionLimit": 30, "protocol": "h1", "tls": false})
	}
	document := map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
	if len(accounts) > 0 {
		document["tenants"] = accounts
	}
	text, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return text
}

// Operator publishes routing documents and checks that no acknowledged one is
// lost.
type Operator struct {
	ControlAddresses []string

	mu           sync.Mutex
	calls        int
	ackedVersion uint64
}

// nextControl returns the addresses of the control hosts in turn.
func (o *Operator) nextControl() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls++
	return o.ControlAddresses[o.calls%len(o.ControlAddresses)]
}

// Publish sends a document until it is acknowledged or the time limit has passed.
// It returns a failure if the document, which is valid, is refused.
func (o *Operator) Publish(version uint64, extra int, limit time.Duration) (acked bool, failure string) {
	return o.PublishText(version, Document(version, extra), limit)
}

// PublishText is Publish for the text of a document.
func (o *Operator) PublishText(version uint64, text []byte, limit time.Duration) (acked bool, failure string) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		status, body := Call(http.MethodPut, "http://"+o.nextControl()+"/v1/configuration", text, 1500*time.Millisecond)
		switch {
		case status == http.StatusOK:
			o.mu.Lock()
			o.ackedVersion = max(o.ackedVersion, version)
			o.mu.Unlock()
			return true, ""
		case status >= 400 && status < 500:
			return false, fmt.Sprintf("valid document %d was refused with %d: %s", version, status, body)
		}
	}
	return false, ""
}

// AckedVersion returns the highest version that was acknowledged.
func (o *Operator) AckedVersion() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ackedVersion
}

// Read reads the document from one control host and reports whether it answered.
// It returns a failure if the document is damaged, or older than one that was
// acknowledged before the call.
func (o *Operator) Read() (answered bool, failure string) {
	want := o.AckedVersion()
	status, body := Call(http.MethodGet, "http://"+o.nextControl()+"/v1/configuration", nil, 1500*time.Millisecond)
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
