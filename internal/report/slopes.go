// Hollow runs as plots: figures by role over one axis, each with the line that least
// squares gives.
package report

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"

	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/hollow"
)

// drawnFigures are those that get a plot each, with a line for each role.
var drawnFigures = []struct{ name, up string }{
	{"cpu ms/s", "milliseconds a second"}, {"memory MB", "megabytes"}, {"sent bytes/s", "bytes a second"}, {"between zones bytes/s", "bytes a second"}, {"sent messages/s", "messages a second"},
}

// Slopes makes a section of hollow runs along an axis, drawn out to a size.
func Slopes(reports []hollow.Report, axis string, at float64) (Section, error) {
	s := Section{Title: fmt.Sprintf("%d hollow runs by %s", len(reports), axis)}
	sizeOf, ok := hollow.Axes[axis]
	if !ok {
		return s, errcode.New(errcode.BadCall, "there is no axis %q", axis)
	}
	reports = slices.Clone(reports)
	slices.SortFunc(reports, func(a, b hollow.Report) int { return cmp.Compare(sizeOf(a.Size), sizeOf(b.Size)) })
	var text bytes.Buffer
	var words []string
	for _, f := range drawnFigures {
		words = append(words, " "+f.name)
	}
	if err := hollow.Slopes(&text, reports, axis, at, words); err != nil {
		return s, err
	}
	s.Text = text.String()
	for _, f := range drawnFigures {
		p := newPlot(f.name, axis, f.up)
		n := 0
		for _, role := range hollow.Roles {
			var sizes, values []float64
			for _, r := range reports {
				if value, ok := r.Figures[role+" "+f.name]; ok {
					sizes, values = append(sizes, sizeOf(r.Size)), append(values, value)
				}
			}
			if len(sizes) == 0 || slices.Max(values) == 0 {
				continue
			}
			line := hollow.Fit(sizes, values)
			points := make(plotter.XYs, len(sizes))
			for i := range sizes {
				points[i] = plotter.XY{X: sizes[i], Y: values[i]}
			}
			dots, err := plotter.NewScatter(points)
			if err != nil {
				return s, err
			}
			dots.Color, dots.Radius, dots.Shape = colours[n%len(colours)], vg.Points(3), draw.CircleGlyph{}
			far := max(at, slices.Max(sizes))
			through, err := plotter.NewLine(plotter.XYs{{X: 0, Y: line.Start}, {X: far, Y: line.At(far)}})
			if err != nil {
				return s, err
			}
			through.Color, through.Width = colours[n%len(colours)], vg.Points(1)
			through.Dashes = []vg.Length{vg.Points(4), vg.Points(2)}
			p.Add(dots, through)
			p.Legend.Add(fmt.Sprintf("%s: %s each, R² %.2f", role, hollow.Short(line.Slope), line.Fit), dots)
			n++
		}
		if n == 0 {
			continue
		}
		p.Y.Min = 0 // a figure is never below it, whatever a line comes to
		s.Plots = append(s.Plots, Plot{fmt.Sprintf("%s of one node by its role; the lines are least squares, drawn out to %s %s", strings.ToUpper(f.name[:1])+f.name[1:], hollow.Short(at), axis), p})
	}
	if len(s.Plots) == 0 {
		return s, errcode.New(errcode.BadCall, "the runs hold none of the figures that are drawn")
	}
	return s, nil
}
