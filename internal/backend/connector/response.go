package connector

import (
	"io"
	"math"
	"net"
	"net/http"

	"github.com/go-faster/errors"
)

const (
	// maxHeadBytes bounds the status lines and header fields of all responses that one
	// request reads, interim ones and those to earlier requests included.
	maxHeadBytes = 32 << 10
	// maxBodyBytes bounds the body of a response where no allowance is smaller.
	maxBodyBytes = 8 << 20
	// maxFramingBytes bounds the chunk headers and trailer fields beyond one byte per
	// byte of the body.
	maxFramingBytes = 16 << 10
	// minStatus and maxStatus bound the statuses that HTTP defines. A response with another
	// one comes from a failing server.
	minStatus = 100
	maxStatus = 599
	// maxSkippedResponses bounds the responses to earlier requests that are skipped
	// before the one to the current request.
	maxSkippedResponses = 2
	// readBufferBytes is large enough for the headers and body of most responses. A
	// response needs no allowance for that many bytes.
	readBufferBytes = 2 << 10
	// bodySegmentBytes is the size of the segments in which a body is read, so that
	// memory is used only for bytes that have arrived.
	bodySegmentBytes = 16 << 10
	// firstSegmentBytes is the size of the first segment of a body of unknown length.
	firstSegmentBytes = 1 << 10
	// headCost is the most memory that a byte of a head may take: a header field of
	// four bytes takes an entry of a map, a slice and a string.
	headCost = 32
	// bodyCost is the most memory that a byte of a body takes: it is held once in its
	// segment and once in the complete body.
	bodyCost = 2
)

// Sentinel errors of Do for responses that take too much memory. Do joins them with
// ErrBroken.
var (
	// ErrTooLarge means that a response exceeds its size limits or the allowance of
	// its request.
	ErrTooLarge = errors.New("response is too large")
	// ErrExhausted means that this host has no memory left for the response. The
	// server is not at fault.
	ErrExhausted = errors.New("no memory left for responses")
)

// ErrMalformed means that the server sent something that is no response while its connection was
// open. Do joins it with ErrBroken.
var ErrMalformed = errors.New("malformed response")

// limitedReader reads from a connection up to a limit and takes the memory for what it
// reads from an allowance.
type limitedReader struct {
	raw net.Conn
	// remaining is the number of bytes that may still be read.
	remaining int64
	// free is the number of bytes that need no allowance.
	free int64
	// cost is the memory that a byte takes.
	cost int64
	// allowance is that of the current request, and taken what was taken from it.
	allowance *Allowance
	taken     int64
	// failure is ErrTooLarge or ErrExhausted after the limit or the allowance ended.
	failure error
	// interrupted is set once reading from the connection has failed or reached its end.
	interrupted bool
}

// begin prepares for the response to a request with the given allowance.
func (l *limitedReader) begin(a *Allowance) {
	l.remaining, l.free, l.cost, l.allowance, l.taken, l.failure = maxHeadBytes, readBufferBytes, headCost, a, 0, nil
	l.interrupted = false
}

// end detaches the allowance and returns what was taken from it.
func (l *limitedReader) end() (*Allowance, int64) {
	a, n := l.allowance, l.taken
	l.allowance, l.taken = nil, 0
	return a, n
}

// Read implements io.Reader. Beyond the limit or the allowance the error is ErrTooLarge
// or ErrExhausted.
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.remaining <= 0 {
		l.failure = ErrTooLarge
		return 0, l.failure
	}
	if int64(len(b)) > l.remaining {
		b = b[:l.remaining]
	}
	n, err := l.raw.Read(b)
	l.interrupted = l.interrupted || err != nil
	l.remaining -= int64(n)
	paid := max(0, int64(n)-l.free)
	l.free = max(0, l.free-int64(n))
	if l.failure = l.allowance.take(paid * l.cost); l.failure != nil {
		return 0, l.failure
	}
	l.taken += paid * l.cost
	return n, err
}

// readResponse reads the response to r and skips responses to earlier requests.
// The result is true if the connection can be kept: the server keeps it open, no
// data follows the response and no other response was skipped.
func (c *conn) readResponse(r *Request) (*Response, bool, error) {
	c.limits.begin(r.Allowance)
	response, keep, err := c.readMatching(r)
	a, taken := c.limits.end()
	if err != nil {
		a.release(taken)
		kind := c.limits.failure
		if kind == nil && !c.limits.interrupted {
			kind = ErrMalformed
		}
		// The parser may report the text that was cut off instead of the limit.
		return nil, false, errors.Join(ErrBroken, kind, shorten(err))
	}
	return response, keep, nil
}

// maxErrorBytes bounds the text of an error of the parser, which may repeat what it has read.
const maxErrorBytes = 256

// shorten returns the error, or one with the beginning of its text if that is long.
func shorten(err error) error {
	if text := err.Error(); len(text) > maxErrorBytes {
		return errors.New(text[:maxErrorBytes] + "...")
	}
	return err
}

// readMatching is readResponse without the allowance.
func (c *conn) readMatching(r *Request) (*Response, bool, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return nil, false, err
	}
	request := &http.Request{Method: r.Method}
	skipped := 0
	for {
		res, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, false, err
		}
		if res.StatusCode >= 100 && res.StatusCode < 200 && res.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if res.StatusCode < minStatus || res.StatusCode > maxStatus {
			return nil, false, errors.Errorf("status %d is not defined", res.StatusCode)
		}
		headLeft := c.limits.remaining
		c.limits.remaining, c.limits.cost = 2*maxBodyBytes+maxFramingBytes, bodyCost
		body, err := c.readBody(res)
		if err != nil {
			// The caller closes the connection; closing the body would first read
			// the rest of it.
			return nil, false, errors.Wrap(err, "read response body")
		}
		if err := res.Body.Close(); err != nil {
			return nil, false, errors.Wrap(err, "end response body")
		}
		if r.MatchesResponse != nil && !r.MatchesResponse(res.Header) && !res.Close && skipped < maxSkippedResponses {
			skipped++
			c.limits.remaining, c.limits.cost = headLeft, headCost
			continue
		}
		// A connection that carried responses to other requests is not reused.
		keep := !res.Close && c.reader.Buffered() == 0 && skipped == 0
		return &Response{Status: res.StatusCode, Header: res.Header, Body: body}, keep, nil
	}
}

// readBody reads the body of a response of at most maxBodyBytes.
func (c *conn) readBody(res *http.Response) ([]byte, error) {
	if res.ContentLength > maxBodyBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes announced", res.ContentLength)
	}
	expected := res.ContentLength
	if expected < 0 {
		expected = math.MaxInt64
	}
	var full [][]byte
	size := 0
	first := int64(firstSegmentBytes)
	if res.ContentLength >= 0 {
		first = min(expected, bodySegmentBytes)
	}
	segment := make([]byte, 0, first)
	for {
		if len(segment) == cap(segment) {
			if int64(size+len(segment)) == expected {
				break
			}
			full, size = append(full, segment), size+len(segment)
			segment = make([]byte, 0, min(expected-int64(size), bodySegmentBytes))
		}
		n, err := res.Body.Read(segment[len(segment):cap(segment)])
		segment = segment[:len(segment)+n]
		if size+len(segment) > maxBodyBytes {
			return nil, ErrTooLarge
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	if res.ContentLength >= 0 && int64(size+len(segment)) < res.ContentLength {
		return nil, io.ErrUnexpectedEOF
	}
	if len(full) == 0 {
		return segment, nil
	}
	body := make([]byte, 0, size+len(segment))
	for _, s := range full {
		body = append(body, s...)
	}
	return append(body, segment...), nil
}
