package dialer

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Keepalive bounds how long a connection may be without a sign of the other side.
type Keepalive struct {
	// Unacknowledged is how long data may stay without acknowledgement.
	Unacknowledged time.Duration
	// ProbeAfter is the idle time before the other side is probed, in whole seconds.
	ProbeAfter time.Duration
	// ProbeInterval is the time between probes, in whole seconds, and Probes how
	// many may stay without answer.
	ProbeInterval time.Duration
	Probes        int
}

// WithKeepalive returns a dialer whose connections fail when the other side falls
// silent. An endpoint that works on a request still acknowledges it; one that
// has no power or is cut off does not.
func WithKeepalive(s Keepalive) Func {
	d := net.Dialer{
		// The options below replace the usual probes.
		KeepAliveConfig: net.KeepAliveConfig{Enable: false},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optErr error
			err := raw.Control(func(fd uintptr) { optErr = s.apply(int(fd)) })
			return errors.Join(err, optErr)
		},
	}
	d.KeepAlive = -1
	return d.DialContext
}

func (s Keepalive) apply(fd int) error {
	for _, o := range []struct {
		level, option, value int
	}{
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(s.ProbeAfter.Seconds())},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(s.ProbeInterval.Seconds())},
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, s.Probes},
		{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(s.Unacknowledged.Milliseconds())},
	} {
		if err := unix.SetsockoptInt(fd, o.level, o.option, o.value); err != nil {
			return fmt.Errorf("set socket option %d: %w", o.option, err)
		}
	}
	return nil
}
