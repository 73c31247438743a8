// Package httpc configures HTTP clients for servers that may be faulty.
package httpc

import (
	"net/http"
	"net/netip"

	"cicadastand.dev/core/trans/dialer"
)

// MaxHead limits the head of a response, in bytes: a faulty server may send one without end.
const MaxHead = 64 << 10

// Config configures a client.
type Config struct {
	// Dial opens connections; nil for a plain dialer.
	Dial dialer.Func
	// MaxIdlePerHost limits the idle connections to one address; 0 for the default of package http.
	MaxIdlePerHost int
	// IsSingleUse closes each connection after one request.
	IsSingleUse bool
	// DisablesCompression makes the client not ask for compressed responses.
	DisablesCompression bool
	// ReturnsRedirects returns redirects instead of following them.
	ReturnsRedirects bool
}

// New returns a client. Its errors wrap an ErrStatus for a status that no final response has.
func New(cfg Config) *http.Client {
	if cfg.Dial == nil {
		cfg.Dial = dialer.From(netip.Addr{})
	}
	out := &http.Client{Transport: &transport{Transport: &http.Transport{
		DialContext:            withWriteErrors(cfg.Dial),
		MaxResponseHeaderBytes: MaxHead,
		MaxIdleConnsPerHost:    cfg.MaxIdlePerHost,
		DisableKeepAlives:      cfg.IsSingleUse,
		DisableCompression:     cfg.DisablesCompression,
	}}}
	if cfg.ReturnsRedirects {
		out.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	}
	return out
}
