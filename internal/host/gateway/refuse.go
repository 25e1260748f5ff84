package gateway

import (
	"net/http"

	"github.com/go-faster/errors"

	"gentianpond/internal/order/executor"
	"gentianpond/internal/search/coordinator"
)

// The codes of refusals; a refused request did not run.
const (
	CodeMalformed       = "malformed"
	CodeOversized       = "oversized"
	CodeUnknownArchive  = "archive"
	CodeUnknownLane     = "lane"
	CodeInvalidDeadline = "deadline"
	CodeDraining        = "draining"
	CodeNoLease         = "stale"
	CodeQuarantined     = "quarantined"
	CodeOverloaded      = "overloaded"
	CodeUnavailable     = "unavailable"
	CodeNoAnswer        = "answer"
)

// refusal says why a request did not run.
type refusal struct {
	code   string
	reason string
}

// Error returns the reason.
func (r *refusal) Error() string { return r.reason }

func refuse(code, reason string) *refusal { return &refusal{code: code, reason: reason} }

// statuses are the HTTP statuses of codes; any other code is 503.
var statuses = map[string]int{
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

func statusOf(code string) int {
	if s, ok := statuses[code]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// codeOf returns the code of a search that did not bring an answer.
func codeOf(err error) string {
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
