package route

import "cicadastand.dev/core/state/index"

const (
	// maxEngineShare is the largest demand for a prefix that a single engine serves, as a
	// fraction of the average number of requests per engine. A prefix above it is hot.
	maxEngineShare = 0.25
	// minHotRequests is the number of recent requests below which a prefix is never hot.
	minHotRequests = 3
)

// PlacementIndex returns the index of the piece that is used for rendezvous hashing: the
// first one whose prefix is not hot, or else the last one. Requests with a hot prefix are
// distributed by the pieces after it, and go to one engine again when demand drops.
func PlacementIndex(demand []index.Demand, engines int) int {
	for i, d := range demand {
		if d.Requests < minHotRequests || d.Share*float64(engines) <= maxEngineShare {
			return i
		}
	}
	return max(0, len(demand)-1)
}
