package httpd

import (
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A gRPC server drops the buffers of a call that ends before its message is complete. If they
// counted for ever, the memory for messages would be used up and no other host could be read.
func TestDroppedMessageBuffersAreNotCountedForEver(t *testing.T) {
	is := is.New(t)
	const size = 64 << 10
	pool := newMessagePool(1 << 20)
	kept, dropped := pool.Get(size), pool.Get(size)
	is.Equal(pool.held.Load(), int64(cap(*kept)+cap(*dropped)))
	*dropped = nil
	pool.Put(kept)
	for range 100 {
		runtime.GC()
		if pool.held.Load() == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond) // cleanups run in the background
	}
	is.Equal(pool.held.Load(), int64(0))
	is.Equal(len(pool.taken), 0)
}
