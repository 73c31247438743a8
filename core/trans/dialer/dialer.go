// Package dialer opens TCP connections from a given source address or with keepalive
// settings.
package dialer

import (
	"context"
	"net"
	"net/netip"
)

// Func opens a connection.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// From returns a dialer that uses a source address; with the zero address the operating
// system selects it.
func From(source netip.Addr) Func {
	var d net.Dialer
	if source.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return d.DialContext
}
