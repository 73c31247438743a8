package relay

import (
	"errors"
	"io"
	"sync/atomic"

	"cicadastand.dev/core/coord/hold"
	"cicadastand.dev/core/trans/httpd"
)

const (
	// freeHeldBytes of its response may be held for each request, whatever the others hold.
	freeHeldBytes = 16 << 10
	// minReadBuffer is the size, in bytes, of the first buffer for a body.
	minReadBuffer = 4 << 10
)

var errHeldMemory = errors.New("no memory to hold more of the response")

// heldLimit limits the memory of the parts of responses that can't be forwarded yet, for all
// requests together: faulty endpoints may send such parts without end.
type heldLimit struct {
	max   int64
	total atomic.Int64
}

// heldBytes is what one request holds.
type heldBytes struct {
	limit *heldLimit
	// lease charges them with what else the request holds.
	lease *httpd.Lease
	used  int64
}

// take adds n bytes. It reports false, and adds none, if no memory is left for them.
func (h *heldBytes) take(n int) bool {
	more := max(0, h.used+int64(n)-freeHeldBytes) - max(0, h.used-freeHeldBytes)
	if more > 0 && h.limit.total.Add(more) > h.limit.max {
		h.limit.total.Add(-more)
		return false
	}
	if more > 0 && !h.lease.TryTake(hold.Responses, more) {
		h.limit.total.Add(-more)
		return false
	}
	h.used += int64(n)
	return true
}

// release gives all bytes back.
func (h *heldBytes) release() {
	held := max(0, h.used-freeHeldBytes)
	h.limit.total.Add(-held)
	h.lease.Give(hold.Responses, held)
	h.used = 0
}

// readBody reads a body of at most maxBufferedResponse bytes. It reports false for complete,
// with what was read so far, if the body is longer or there is no memory for more of it.
func (h *heldBytes) readBody(src io.Reader) (body []byte, complete bool, err error) {
	for len(body) <= maxBufferedResponse {
		if len(body) == cap(body) {
			size := max(minReadBuffer, 2*cap(body))
			if !h.take(size - cap(body)) {
				return body, false, nil
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := src.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, true, nil
		case err != nil:
			return nil, false, err
		}
	}
	return body, false, nil
}
