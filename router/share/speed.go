package share

import (
	"time"

	"github.com/samber/lo"

	"cicadastand.dev/core/coord/speed"
	"cicadastand.dev/core/proto/loadpb"
)

func speedMessages(reports []speed.Report) []*loadpb.Speed {
	return lo.Map(reports, func(r speed.Report, _ int) *loadpb.Speed {
		out := &loadpb.Speed{Endpoint: r.Endpoint, StartedMs: r.StartedMs, AgeMs: uint32(max(0, r.Age.Milliseconds()))}
		used := 0
		for bin, w := range r.Weights {
			if w > 0 {
				used = bin + 1
			}
		}
		for bin := range used {
			out.Weights = append(out.Weights, float32(r.Weights[bin]))
			out.Means = append(out.Means, float32(r.Means[bin]))
		}
		return out
	})
}

func speedsFrom(in []*loadpb.Speed) []speed.Report {
	return lo.Map(in, func(m *loadpb.Speed, _ int) speed.Report {
		out := speed.Report{
			Incarnation: speed.Incarnation{Endpoint: m.GetEndpoint(), StartedMs: m.GetStartedMs()},
			Age:         time.Duration(m.GetAgeMs()) * time.Millisecond,
		}
		for bin := range min(len(m.GetWeights()), len(m.GetMeans()), speed.Bins) {
			out.Weights[bin], out.Means[bin] = float64(m.GetWeights()[bin]), float64(m.GetMeans()[bin])
		}
		return out
	})
}
