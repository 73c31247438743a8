package route

import "cicadastand.dev/core/state/index"

const (
	// maxEngineShare is the part of an engine's even share of all requests above which a
	// prefix is too hot for a single engine.
	maxEngineShare = 0.25
	// minHotRequests is the number of recent requests below which no prefix is hot.
	minHotRequests = 3
)

// PlacementIndex returns the index of the piece by which a request is placed: the first
// one whose prefix is not too hot for one engine. Requests with a hot prefix
// spread by what follows it, and come together again as it cools.
func PlacementIndex(demand []index.Demand, engines int) int {
	for i, d := range demand {
		if d.Requests < minHotRequests || d.Share*float64(engines) <= maxEngineShare {
			return i
		}
	}
	return max(0, len(demand)-1)
}
