package openai

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// RunState tells a caller whether its request was executed.
type RunState string

// The run states. NotRun is returned only if nothing was sent to an endpoint that could
// have had an effect.
const (
	NotRun         RunState = "not-run"
	OutcomeUnknown RunState = "outcome-unknown"
	Completed      RunState = "completed"
)

// Code is a machine-readable error code.
type Code string

// The error codes.
const (
	CodeBadField       Code = "bad-field"
	CodeTooLarge       Code = "too-large"
	CodeUnauthorized   Code = "unauthorized"
	CodeForbidden      Code = "forbidden"
	CodeNotFound       Code = "not-found"
	CodeLimit          Code = "limit-reached"
	CodeOverload       Code = "overload"
	CodeDeadline       Code = "deadline-exceeded"
	CodeUnavailable    Code = "unavailable"
	CodeNotReady       Code = "not-ready"
	CodeSuspect        Code = "suspect-request"
	CodeIncomplete     Code = "incomplete-stream"
	CodeKeyConflict    Code = "key-conflict"
	CodeKeyExpired     Code = "key-expired"
	CodeKeyMissing     Code = "key-missing"
	CodeOutcomeUnknown Code = "outcome-unknown"
)

// Error is an error in the format that OpenAI client libraries decode.
type Error struct {
	Status     int           `json:"-"`
	RetryAfter time.Duration `json:"-"`
	Message    string        `json:"message"`
	Type       string        `json:"type"`
	Param      string        `json:"param,omitempty"`
	Code       Code          `json:"code"`
	RunState   RunState      `json:"run-state"`
}

// Error returns the code and the message.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error *Error `json:"error"`
}

// NewError returns an error for a request that was not run.
func NewError(status int, code Code, format string, args ...any) *Error {
	return &Error{
		Status:   status,
		Message:  fmt.Sprintf(format, args...),
		Type:     errorType(status),
		Code:     code,
		RunState: NotRun,
	}
}

// AsError returns the Error in the chain of err, or an internal error with its text.
func AsError(err error) *Error {
	var target *Error
	if errors.As(err, &target) {
		return target
	}
	e := NewError(http.StatusInternalServerError, CodeUnavailable, "%v", err)
	e.RunState = OutcomeUnknown
	return e
}

// Write writes the error as the response to a call.
func (e *Error) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		seconds := int((e.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(ErrorBody{Error: e})
}

func errorType(status int) string {
	switch {
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

func badField(field, format string, args ...any) error {
	e := NewError(http.StatusBadRequest, CodeBadField, "%s %s", field, fmt.Sprintf(format, args...))
	e.Param = field
	return e
}
