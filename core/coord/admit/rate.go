package admit

import "time"

// rate estimates the number of events per second over the last few windows.
type rate struct {
	start time.Time
	// current is the number of events since start.
	current float64
	// last is the estimate of events per window.
	last  float64
	known bool
}

// rateWindow is the time over which events are counted.
const rateWindow = 500 * time.Millisecond

func (r *rate) add(now time.Time) {
	r.advance(now)
	r.current++
}

// perSecond returns the estimate, or 0 until the first window with an event is over.
func (r *rate) perSecond(now time.Time) float64 {
	r.advance(now)
	if !r.known {
		return 0
	}
	return r.last / rateWindow.Seconds()
}

// advance starts a new window if the current one is over. The estimate is the mean
// of the new count and the previous estimate.
func (r *rate) advance(now time.Time) {
	if r.start.IsZero() {
		r.start = now
		return
	}
	elapsed := now.Sub(r.start)
	if elapsed < rateWindow {
		return
	}
	windows := float64(elapsed) / float64(rateWindow)
	measured := r.current / windows
	if r.known {
		measured = (measured + r.last) / 2
	}
	r.known = r.known || r.current > 0
	r.last = measured
	r.current = 0
	r.start = now
}
