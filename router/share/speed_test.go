package share

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/speed"
	"cicadastand.dev/core/proto/loadpb"
)

// Messages of a later release may have more ranges, and a faulty one may have fewer means.
func TestSpeedMessages(t *testing.T) {
	is := is.New(t)
	r := speed.Report{Incarnation: speed.Incarnation{Endpoint: "e", StartedMs: 1_800_000_000_000}, Age: 250 * time.Millisecond}
	r.Weights[1], r.Means[1] = 2, -0.5
	m := speedMessages([]speed.Report{r})
	is.Equal(len(m[0].GetWeights()), 2) // ranges after the last observation are left out
	is.Equal(speedsFrom(m), []speed.Report{r})
	long := &loadpb.Speed{Endpoint: "e", Weights: make([]float32, 9), Means: make([]float32, 9)}
	is.Equal(speedsFrom([]*loadpb.Speed{long}), []speed.Report{{Incarnation: speed.Incarnation{Endpoint: "e"}}})
	short := &loadpb.Speed{Weights: []float32{1}}
	is.Equal(speedsFrom([]*loadpb.Speed{short})[0].Weights[0], 0.0)
	is.Equal(speedsFrom(nil), []speed.Report{})
}
