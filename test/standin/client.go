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

// Outcome is what a client saw.
type Outcome struct {
	ID     string
	Status int
	// Served is true for a correct answer; Complaint says what is wrong with a
	// wrong one.
	Served    bool
	Complaint string
	// Unsent is true when no connection could be opened.
	Unsent bool
}

// Client sends requests to one relay and checks the answers.
type Client struct {
	Address string
	// Servers returns the service of a server, of all that ever were.
	Servers func(id string) string
	http    http.Client
}

// Search sends a fan-out.
func (c *Client) Search(id, path string) Outcome {
	o, header, body := c.do(http.MethodGet, id, SearchHost, "/s/"+path)
	if o.Status != http.StatusOK {
		return o
	}
	o.Complaint = c.checkSearch(id, "/s/"+path, header, body)
	o.Served = o.Complaint == ""
	return o
}

// Fetch sends a safe request, Order an unsafe one.
func (c *Client) Fetch(id, path string) Outcome { return c.one(http.MethodGet, id, "/f/"+path) }

// Order sends a request that may run once.
func (c *Client) Order(id, path string) Outcome { return c.one(http.MethodPost, id, "/o/"+path) }

func (c *Client) one(method, id, path string) Outcome {
	o, header, body := c.do(method, id, OrderHost, path)
	if o.Status != http.StatusOK {
		return o
	}
	stamp := header.Get("X-Response-Stamp")
	server := ServerOf(stamp)
	switch {
	case stamp != Signature(server, id):
		o.Complaint = "answer with the signature of another request: " + stamp
	case c.Servers(server) != Orders:
		o.Complaint = "answer of a server of another service: " + server
	case !bytes.Equal(body, Records(Orders, path)):
		o.Complaint = "answer with another body"
	}
	o.Served = o.Complaint == ""
	return o
}

func (c *Client) do(method, id, host, path string) (Outcome, http.Header, []byte) {
	o := Outcome{ID: id}
	r, err := http.NewRequest(method, "http://"+c.Address+path, nil)
	if err != nil {
		o.Complaint = err.Error()
		return o, nil, nil
	}
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Milliseconds", "2000")
	// net/http would send the request again on a kept connection that ended.
	r.Header["Idempotency-Key"] = nil
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

// checkSearch checks signatures, coverage and records of a fan-out.
func (c *Client) checkSearch(id, path string, header http.Header, body []byte) string {
	var services []string
	var parts [][]byte
	for _, stamp := range strings.Split(header.Get("X-Part-Stamps"), ",") {
		stamp = strings.TrimSpace(stamp)
		server := ServerOf(stamp)
		if stamp != Signature(server, id) {
			return "part with the signature of another request: " + stamp
		}
		service := c.Servers(server)
		if slices.Contains(services, service) || !slices.Contains(Shards, service) {
			return "part of service " + service + " is there twice or does not belong there"
		}
		services = append(services, service)
		parts = append(parts, Records(service, path))
	}
	missing, err := strconv.Atoi(header.Get("X-Missing-Parts"))
	if err != nil || missing+len(services) != len(Shards) {
		return fmt.Sprintf("%d parts and %q missing of %d", len(services), header.Get("X-Missing-Parts"), len(Shards))
	}
	if float64(len(services)) < Least*float64(len(Shards)) {
		return fmt.Sprintf("only %d parts", len(services))
	}
	if !bytes.Equal(body, ranker.Greatest(parts, 6)) {
		return "records are not the greatest of the parts"
	}
	return ""
}

// NotRun reports whether a status promises that a request has not run.
func NotRun(status int) bool {
	return slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}
