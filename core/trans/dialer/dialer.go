// Package dialer makes connections from a chosen address of the host.
package dialer

import (
	"context"
	"net"
	"net/netip"
)

// Func makes a connection.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// From returns a dialer whose connections come from an address; the zero
// address leaves the choice to the system.
func From(source netip.Addr) Func {
	var d net.Dialer
	if source.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return d.DialContext
}
