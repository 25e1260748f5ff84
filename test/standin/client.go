package standin

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"gentianpond/internal/route/ranker"
)

// Outcome is the result of a request as the client saw it.
type Outcome struct {
	ID string
	// Status is the HTTP status, 0 if no complete answer arrived.
	Status int
	// Served is true for a correct answer; Failure says what is wrong with a
	// wrong one.
	Served  bool
	Failure string
	// Unsent is true when no connection could be opened.
	Unsent bool
}

// Client sends requests to one relay and checks the answers.
type Client struct {
	Address string
	// ServiceOf returns the service of a server by its id. It has to know servers
	// that have ended, because their answers may still arrive.
	ServiceOf func(id string) string
	// Key is the key of the client's account, empty for none.
	Key  string
	http http.Client
}

// Search sends a request that fans out to the shards.
func (c *Client) Search(id, path string) Outcome {
	o, header, body := c.send(http.MethodGet, id, SearchHost, "/s/"+path)
	if o.Status != http.StatusOK {
		return o
	}
	o.Failure = c.checkSearch(id, "/s/"+path, header, body)
	o.Served = o.Failure == ""
	return o
}

// Fetch sends a safe request to the order service.
func (c *Client) Fetch(id, path string) Outcome { return c.sendSingle(http.MethodGet, id, "/f/"+path) }

// Order sends an unsafe request, which may run at most once.
func (c *Client) Order(id, path string) Outcome { return c.sendSingle(http.MethodPost, id, "/o/"+path) }

// sendSingle sends a request that one server answers, and checks the answer.
func (c *Client) sendSingle(method, id, path string) Outcome {
	o, header, body := c.send(method, id, OrderHost, path)
	if o.Status != http.StatusOK {
		return o
	}
	stamp := header.Get("X-Response-Stamp")
	server := SigningServer(stamp)
	switch {
	case stamp != Signature(server, id):
		o.Failure = "answer with the signature of another request: " + stamp
	case c.ServiceOf(server) != OrderService:
		o.Failure = "answer of a server of another service: " + server
	case !bytes.Equal(body, Records(OrderService, path)):
		o.Failure = "answer with another body"
	}
	o.Served = o.Failure == ""
	return o
}

// send sends a request and reads the answer without a check of its content.
func (c *Client) send(method, id, host, path string) (Outcome, http.Header, []byte) {
	o := Outcome{ID: id}
	r, err := http.NewRequest(method, "http://"+c.Address+path, nil)
	if err != nil {
		o.Failure = err.Error()
		return o, nil, nil
	}
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Milliseconds", "2000")
	if c.Key != "" {
		r.Header.Set("Authorization", "Bearer "+c.Key)
	}
	c.http.Timeout = 2500 * time.Millisecond
	res, err := c.http.Do(r)
	if err != nil {
		var op *net.OpError
		o.Unsent = errors.As(err, &op) && op.Op == "dial"
		return o, nil, nil
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return o, nil, nil
	}
	o.Status = res.StatusCode
	return o, res.Header, body
}

// checkSearch checks the signatures, the coverage and the records of the answer
// to a fan-out. It returns what is wrong, or an empty string.
func (c *Client) checkSearch(id, path string, header http.Header, body []byte) string {
	var services []string
	var parts [][]byte
	for _, stamp := range strings.Split(header.Get("X-Part-Stamps"), ",") {
		stamp = strings.TrimSpace(stamp)
		server := SigningServer(stamp)
		if stamp != Signature(server, id) {
			return "part with the signature of another request: " + stamp
		}
		service := c.ServiceOf(server)
		if slices.Contains(services, service) || !slices.Contains(ShardServices, service) {
			return "part of service " + service + " is there twice or does not belong there"
		}
		services = append(services, service)
		parts = append(parts, Records(service, path))
	}
	missing, err := strconv.Atoi(header.Get("X-Missing-Parts"))
	if err != nil || missing+len(services) != len(ShardServices) {
		return fmt.Sprintf("%d parts and %q missing of %d", len(services), header.Get("X-Missing-Parts"), len(ShardServices))
	}
	if float64(len(services)) < MinShardFraction*float64(len(ShardServices)) {
		return fmt.Sprintf("only %d parts", len(services))
	}
	if !bytes.Equal(body, ranker.Greatest(parts, 6)) {
		return "records are not the greatest of the parts"
	}
	return ""
}

// NotRun reports whether a status guarantees that the request has not run.
func NotRun(status int) bool {
	return slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}
