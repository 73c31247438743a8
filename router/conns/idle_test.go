package conns

import (
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/state/clock"
)

// The idle connections to all endpoints together must leave descriptors for those in use.
func TestIdleConnectionsOfAllTargetsAreBounded(t *testing.T) {
	is := is.New(t)
	p := New(Config{Clock: clock.New(), IdleTimeout: time.Minute, MaxIdle: 4, MaxIdleTotal: 2})
	for i := range 3 {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		p.release(&clientConn{conn: near, target: Target{Incarnation: strconv.Itoa(i)}})
	}
	is.Equal(p.idleTotal, 2)
	is.Equal(len(p.idle), 2)
	is.True(p.takeIdle(Target{Incarnation: "0"}) != nil)
	is.Equal(p.idleTotal, 1)
	p.Close()
	is.Equal(p.idleTotal, 0)
}
