package dialer

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Keepalive configures how long the peer may fail to respond before a connection fails.
type Keepalive struct {
	// Unacknowledged is how long sent data may remain unacknowledged.
	Unacknowledged time.Duration
	// ProbeAfter is the idle time before the first probe, in whole seconds.
	ProbeAfter time.Duration
	// ProbeInterval is the time between probes, in whole seconds, and Probes how many may
	// remain unacknowledged.
	ProbeInterval time.Duration
	Probes        int
}

// WithKeepalive returns a dialer whose connections fail if the peer stops responding at
// the TCP level. An endpoint that is still processing a request acknowledges data and
// probes; one that lost power or network does not.
func WithKeepalive(k Keepalive) Func {
	d := net.Dialer{
		// Keepalive is configured with the socket options in apply instead.
		KeepAliveConfig: net.KeepAliveConfig{Enable: false},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optErr error
			err := raw.Control(func(fd uintptr) { optErr = k.apply(int(fd)) })
			return errors.Join(err, optErr)
		},
	}
	d.KeepAlive = -1
	return d.DialContext
}

func (k Keepalive) apply(fd int) error {
	for _, o := range []struct {
		level, option, value int
	}{
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(k.ProbeAfter.Seconds())},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(k.ProbeInterval.Seconds())},
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, k.Probes},
		{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(k.Unacknowledged.Milliseconds())},
	} {
		if err := unix.SetsockoptInt(fd, o.level, o.option, o.value); err != nil {
			return fmt.Errorf("set socket option %d: %w", o.option, err)
		}
	}
	return nil
}
