package relayer

import (
	"encoding/binary"
	"io"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"gentianpond/internal/fleet/registrar"
)

// endCheckTimeout bounds the wait for a connection that shows whether a server has
// ended. A server that does not answer in time may only be cut off.
const endCheckTimeout = 100 * time.Millisecond

// fingerprint returns the hash that identifies equal requests: those with the same
// method, host, path, query and body. Headers are left out because ids and time limits
// differ between copies; who sends a request does not change what it does to a server.
func (r *Request) fingerprint() uint64 {
	digest := xxhash.New()
	var length [8]byte
	for _, field := range []string{r.Method, r.Host, r.Target} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = digest.Write(length[:])
		_, _ = digest.WriteString(field)
	}
	_, _ = digest.Write(r.Body)
	return digest.Sum64()
}

// hasEnded reports whether a server whose connection broke with err has ended: it closed
// the connection without having announced that it stops, and its address now refuses
// others. A server that only reset the connection accepts others; one that is cut off does
// not answer. Those of an evacuated zone may be stopped at any time, and are not probed.
func (r *Relayer) hasEnded(s *server, err error) bool {
	closed := func(target error) bool { return errors.Is(err, target) }
	if !slices.ContainsFunc([]error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE}, closed) {
		return false
	}
	if current := r.routing.Load().servers[s.Name]; current == nil || current.Incarnation != s.Incarnation || current.State == registrar.Draining || current.evacuated {
		return false
	}
	return errors.Is(s.pool.Probe(r.runContext(), endCheckTimeout), syscall.ECONNREFUSED)
}
