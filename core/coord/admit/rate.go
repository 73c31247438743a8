package admit

import "time"

// rate estimates events a second over the last few windows.
type rate struct {
	start   time.Time
	current float64
	last    float64
	known   bool
}

// rateWindow is the span over which events are counted.
const rateWindow = 500 * time.Millisecond

func (r *rate) add(now time.Time) {
	r.advance(now)
	r.current++
}

// perSecond returns the estimate, or 0 while nothing is known.
func (r *rate) perSecond(now time.Time) float64 {
	r.advance(now)
	if !r.known {
		return 0
	}
	return r.last / rateWindow.Seconds()
}

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
