package httpc

import (
	"fmt"
	"net/http"
)

// The statuses that a final response can have.
const (
	minStatus = 200
	maxStatus = 599
)

// IsInterim reports whether another response follows one with a status. No request asks for 101,
// after which none does.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < minStatus && status != http.StatusSwitchingProtocols
}

// ErrStatus reports a response whose status is not one of a final response.
type ErrStatus struct{ Status int }

// Error implements error.
func (e *ErrStatus) Error() string { return fmt.Sprintf("%03d is no status of a response", e.Status) }

// CheckStatus returns an ErrStatus if no final response has the status.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return &ErrStatus{Status: status}
	}
	return nil
}

// transport returns an ErrStatus instead of a response whose status is none.
type transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(resp.StatusCode); err != nil {
		_ = resp.Body.Close() // what follows such a head is of no use
		return nil, err
	}
	return resp, nil
}
