package acceptor

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/host/rationer"
)

const (
	// RetryAfter is the time in seconds after which a client that was refused for lack of memory
	// may return. Clients that hold memory without progress have been disconnected by then.
	RetryAfter = "1"
	// segmentBytes is the size of the segments in which a body is read, so that memory is used
	// only for bytes that have arrived.
	segmentBytes = 16 << 10
	// bodyCost is the memory that a byte of a body takes: it is held once in its segment and
	// once in the complete body.
	bodyCost = 2
)

// ErrNoMemory means that there is no memory for the body of a request.
var ErrNoMemory = errors.New("no memory left for the body of a request")

// ReadBody reads the body of a request from body, which may be a limited reader of it, within the
// memory of the listener that accepted the connection. The memory stays reserved until the answer
// is complete.
func ReadBody(r *http.Request, body io.Reader) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	c := connOf(r.Context())
	if c == nil {
		return io.ReadAll(body)
	}
	if t := c.listener.config.BodyTime; t > 0 {
		// Errors mean that the client has disconnected.
		_ = c.SetReadDeadline(time.Now().Add(t))
		defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	}
	c.enter(rationer.Body)
	defer c.enter(rationer.Running)
	data, err := c.readBody(body, r.ContentLength)
	if err != nil && c.evicted.Load() {
		err = errors.Join(errClosed, err)
	}
	return data, err
}

// readBody reads a body of the given length, -1 if that is not known.
func (c *Conn) readBody(body io.Reader, length int64) ([]byte, error) {
	var full [][]byte
	size := 0
	segment := make([]byte, 0, firstSegment(length))
	for {
		if len(segment) == cap(segment) {
			if len(segment) > 0 {
				full, size = append(full, segment), size+len(segment)
			}
			if int64(size) == length {
				// The reader reports the end, or that the limit is exceeded.
				var b [1]byte
				n, err := body.Read(b[:])
				if n > 0 || err != nil && err != io.EOF {
					return nil, errors.Join(io.ErrUnexpectedEOF, err)
				}
				segment = nil
				break
			}
			next := int64(segmentBytes)
			if length >= 0 {
				next = min(next, length-int64(size))
			}
			if !c.reserve(&c.bodyCost, (int64(size)+next)*bodyCost) {
				if c.evicted.Load() {
					return nil, errClosed
				}
				c.listener.report("refused", "no memory")
				return nil, ErrNoMemory
			}
			segment = make([]byte, 0, next)
		}
		n, err := body.Read(segment[len(segment):cap(segment)])
		segment = segment[:len(segment)+n]
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	switch {
	case len(full) == 0:
		return segment, nil
	case len(full) == 1 && len(segment) == 0:
		return full[0], nil
	}
	data := make([]byte, 0, size+len(segment))
	for _, s := range full {
		data = append(data, s...)
	}
	return append(data, segment...), nil
}

// firstSegment returns the size of the first segment of a body, for which no memory is reserved.
func firstSegment(length int64) int64 {
	if length < 0 {
		return freeBytes
	}
	return min(length, freeBytes)
}

// WriteNoMemory answers a request whose body was refused with ErrNoMemory.
func WriteNoMemory(w http.ResponseWriter) {
	w.Header().Set("Retry-After", RetryAfter)
	w.Header().Set("Connection", "close")
	http.Error(w, ErrNoMemory.Error(), http.StatusServiceUnavailable)
}
