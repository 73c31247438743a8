package httpc

import (
	"fmt"
	"io"
	"time"

	"cicadastand.dev/core/state/clock"
)

// Progress is what the body of a response must bring for its call to go on.
type Progress struct {
	// Bytes must arrive in each Interval, or the rest of the body.
	Bytes    int
	Interval time.Duration
}

// ReadBody reads a body of at most limit bytes and defers the deadline of the call while the
// body makes progress. With an error it returns what has arrived.
func ReadBody(body io.Reader, limit int64, deadline *clock.Deadline, progress Progress) ([]byte, error) {
	deadline.Defer(progress.Interval)
	raw, err := io.ReadAll(&progressReader{body: io.LimitReader(body, limit), deadline: deadline, progress: progress})
	if err != nil {
		return raw, fmt.Errorf("read body: %w", err)
	}
	return raw, nil
}

type progressReader struct {
	body     io.Reader
	deadline *clock.Deadline
	progress Progress
	// arrived is the number of bytes since the deadline was last deferred.
	arrived int
}

// Read implements io.Reader.
func (r *progressReader) Read(to []byte) (int, error) {
	n, err := r.body.Read(to)
	r.arrived += n
	if r.arrived >= r.progress.Bytes {
		r.arrived = 0
		r.deadline.Defer(r.progress.Interval)
	}
	return n, err
}
