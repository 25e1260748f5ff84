//go:build review

package kit

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// request is a request that a searcher runs.
type request struct {
	id, method, target, body string
}

// searcher is a stand-in of a searcher. It serves one request at a time on a connection, and runs
// each request that names it.
type searcher struct {
	run         *run
	id, service string
	address     string
	control     []string
	listener    net.Listener
	born        int64
	// answer returns the bytes with which a request that has run is answered. Nil stands for a
	// sound answer.
	answer func(s *searcher, q request) string

	mu       sync.Mutex
	runs     map[string]int
	state    string
	sequence int
	silent   bool
	conns    map[net.Conn]struct{}
}

// startSearcher starts a searcher that checks in every 400 ms.
func startSearcher(r *run, id, service string, control []string, answer func(s *searcher, q request) string) (*searcher, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &searcher{
		run: r, id: id, service: service, address: l.Addr().String(), control: append([]string(nil), control...), listener: l,
		born: time.Now().UnixMilli(), answer: answer, runs: map[string]int{}, state: "ready", conns: map[net.Conn]struct{}{},
	}
	go s.accept()
	go func() {
		for {
			s.mu.Lock()
			silent := s.silent
			s.mu.Unlock()
			if silent {
				return
			}
			s.checkIn()
			time.Sleep(400 * time.Millisecond)
		}
	}()
	return s, nil
}

// checkIn reports the state and returns whether it was acknowledged.
func (s *searcher) checkIn() bool {
	s.mu.Lock()
	s.sequence++
	body, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": "zone-0", "version": "v1", "slots": 4, "state": s.state, "coldRemainingMs": 0,
		"sequence": s.sequence, "born": s.born,
	})
	s.mu.Unlock()
	if err != nil {
		return false
	}
	for _, a := range s.control {
		if status, _ := call(http.MethodPut, "http://"+a+"/v1/instances/"+s.id, body); status == http.StatusOK {
			return true
		}
	}
	return false
}

// stop ends the searcher as a crash does.
func (s *searcher) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

// ran returns how often a request ran here.
func (s *searcher) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *searcher) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.serve(c)
	}
}

// serve answers the requests of a connection.
func (s *searcher) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		id := q.Header.Get("X-Request-Id")
		if want := q.Header.Get("X-Expected-Instance"); want != "" && want != s.id {
			if _, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, s.id); err != nil {
				return
			}
			continue
		}
		s.mu.Lock()
		s.runs[id]++
		n := s.runs[id]
		s.mu.Unlock()
		s.run.note("searcher %s runs %s %s %s, run %d", s.id, q.Method, q.RequestURI, id, n)
		r := request{id: id, method: q.Method, target: q.RequestURI, body: string(body)}
		text := ""
		if s.answer != nil {
			text = s.answer(s, r)
		}
		if text == "" {
			text = s.sound(r, http.StatusOK, "done "+id)
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// stamp returns the signature of the searcher's answer to a request.
func (s *searcher) stamp(id string) string { return s.id + "." + id }

// sound returns an answer of the searcher with a status and a body.
func (s *searcher) sound(q request, status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\nX-Response-Stamp: %s\r\nX-Server-Load: 1,0,4\r\nContent-Length: %s\r\n\r\n%s",
		status, http.StatusText(status), q.id, s.id, s.stamp(q.id), strconv.Itoa(len(body)), body)
}
