package replay

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"primrosedale.example/primrosedale/core/model"
)

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot writes one SVG for each series of a result into a folder: running work,
// waiting work and entitlements by team.
func Plot(r *Result, folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Annotate(err, "creating the folder of the plots")
	}
	for _, s := range []struct {
		name, title string
		values      map[model.TeamID][]float64
	}{
		{"running", "running requests", r.Series.Running},
		{"waiting", "waiting requests", r.Series.Waiting},
		{"entitled", "entitled slots", r.Series.Entitled},
	} {
		path := filepath.Join(folder, fmt.Sprintf("%s-%s-%s.svg", r.Trace, r.Policy, s.name))
		if err := r.plot(path, s.title, s.values); err != nil {
			return errors.Annotatef(err, "plotting %s", path)
		}
	}
	return nil
}

func (r *Result) plot(path, title string, values map[model.TeamID][]float64) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, policy %s: %s", r.Trace, r.Policy, title)
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = title
	p.Y.Min = 0
	p.Legend.Top = true
	for i, team := range model.SortedKeys(values) {
		points := make(plotter.XYs, len(values[team]))
		for j, v := range values[team] {
			points[j] = plotter.XY{X: r.Series.Seconds[j], Y: v}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Trace(err)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(string(team), line)
	}
	return errors.Trace(p.Save(plotWidth, plotHeight, path))
}
