package report

import (
	"fmt"
	"slices"

	"github.com/samber/lo"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"cicadastand.dev/loads/drive"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// plotFirstToken saves a plot of the time to first token over the arrival time, with
// one color for each stream.
func plotFirstToken(path string, samples []drive.Sample) error {
	p := plot.New()
	p.Title.Text = "time to first token"
	p.X.Label.Text = "arrival in seconds"
	p.Y.Label.Text = "milliseconds"
	byStream := lo.GroupBy(lo.Filter(samples, func(s drive.Sample, _ int) bool { return s.FirstToken > 0 }),
		func(s drive.Sample) string { return s.Stream })
	names := lo.Keys(byStream)
	slices.Sort(names)
	for i, name := range names {
		points := lo.Map(byStream[name], func(s drive.Sample, _ int) plotter.XY {
			return plotter.XY{X: s.At.Seconds(), Y: float64(s.FirstToken.Microseconds()) / 1000}
		})
		scatter, err := plotter.NewScatter(plotter.XYs(points))
		if err != nil {
			return fmt.Errorf("plot %s: %w", name, err)
		}
		scatter.Color = plotutil.Color(i)
		scatter.Radius = vg.Points(1)
		p.Add(scatter)
		p.Legend.Add(name, scatter)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}
