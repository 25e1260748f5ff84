package gateway

import (
	"net/http"

	"github.com/go-faster/errors"

	"gentianpond/internal/order/executor"
	"gentianpond/internal/search/coordinator"
)

// The codes of requests that got no result. A request with one of them did not run,
// unless its outcome says otherwise.
const (
	// CodeMalformed means that the body cannot be read or decoded as a request, or has
	// no content.
	CodeMalformed = "malformed"
	// CodeOversized means that the body is longer than maxBodyBytes.
	CodeOversized = "oversized"
	// CodeNoMemory means that this host has no memory for the body.
	CodeNoMemory = "memory"
	// CodeUnknownArchive means that no team has configured the archive.
	CodeUnknownArchive = "archive"
	// CodeUnknownLane means that the archive does not allow the lane.
	CodeUnknownLane = "lane"
	// CodeInvalidDeadline means that the deadline is no duration, is not positive or
	// is longer than the archive allows.
	CodeInvalidDeadline = "deadline"
	// CodeDraining means that this host is stopping.
	CodeDraining = "draining"
	// CodeNoLease means that this host has no lease, so that its configuration may be
	// out of date.
	CodeNoLease = "stale"
	// CodeQuarantined means that the request is known to crash backend servers.
	CodeQuarantined = "quarantined"
	// CodeOverloaded means that no backend server started the search.
	CodeOverloaded = "overloaded"
	// CodeUnavailable means that no snapshot of the archive can be searched.
	CodeUnavailable = "unavailable"
	// CodeNoAnswer means that no backend server answered the search in time. The
	// search may have run.
	CodeNoAnswer = "answer"
)

// refusal tells why a request got no result, with a code and with a reason for
// people.
type refusal struct {
	// code is one of the codes above or of package executor.
	code string
	// reason explains the refusal to people.
	reason string
}

// Error returns the reason.
func (r *refusal) Error() string { return r.reason }

func newRefusal(code, reason string) *refusal { return &refusal{code: code, reason: reason} }

// httpStatuses are the HTTP statuses of codes. Any other code has the status 503.
var httpStatuses = map[string]int{
	"":                         http.StatusOK,
	CodeMalformed:              http.StatusBadRequest,
	CodeOversized:              http.StatusRequestEntityTooLarge,
	CodeUnknownArchive:         http.StatusNotFound,
	CodeUnknownLane:            http.StatusBadRequest,
	CodeInvalidDeadline:        http.StatusBadRequest,
	CodeQuarantined:            http.StatusUnprocessableEntity,
	CodeOverloaded:             http.StatusTooManyRequests,
	CodeNoAnswer:               http.StatusGatewayTimeout,
	executor.CodeKeyConflict:   http.StatusConflict,
	executor.CodeExpiredKey:    http.StatusGone,
	executor.CodeInvalidKey:    http.StatusBadRequest,
	executor.CodeInProgress:    http.StatusAccepted,
	executor.CodeUnknown:       http.StatusGatewayTimeout,
	executor.CodeBackendFailed: http.StatusBadGateway,
}

// httpStatus returns the HTTP status of the answer with a code.
func httpStatus(code string) int {
	if s, ok := httpStatuses[code]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// searchErrorCode returns the code of an error of the coordinator's Search.
func searchErrorCode(err error) string {
	switch {
	case errors.Is(err, coordinator.ErrUnknownArchive):
		return CodeUnknownArchive
	case errors.Is(err, coordinator.ErrNotStarted):
		return CodeOverloaded
	case errors.Is(err, coordinator.ErrNoAnswer):
		return CodeNoAnswer
	default:
		return CodeUnavailable
	}
}
