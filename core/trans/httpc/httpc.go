// Package httpc configures HTTP clients for servers that may be faulty.
package httpc

import (
	"net/http"

	"cicadastand.dev/core/trans/dialer"
)

// MaxHead limits the head of a response, in bytes: a faulty server may send one without end.
const MaxHead = 64 << 10

// NewTransport returns a transport that opens connections with dial.
func NewTransport(dial dialer.Func) *http.Transport {
	return &http.Transport{DialContext: dial, MaxResponseHeaderBytes: MaxHead}
}
