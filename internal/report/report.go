// Package report makes an HTML page with plots of a recorded history: outcomes and latency of
// requests over time with the faults marked, and bytes sent by kind of message. The page is
// one file; it fetches nothing.
package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Section is one part of a page: a text and plots.
type Section struct {
	Title, Text string
	Plots       []Plot
}

// Plot is one picture and its caption.
type Plot struct {
	Caption string
	Picture *plot.Plot
}

const (
	width       = 10 * vg.Inch
	height      = 3.2 * vg.Inch
	legendWidth = 2.4 * vg.Inch
)

// The colours are told apart by those who see few of them, too.
var colours = []color.Color{
	color.RGBA{0x00, 0x72, 0xb2, 0xff}, color.RGBA{0xd5, 0x5e, 0x00, 0xff}, color.RGBA{0x00, 0x9e, 0x73, 0xff}, color.RGBA{0xcc, 0x79, 0xa7, 0xff},
	color.RGBA{0xe6, 0x9f, 0x00, 0xff}, color.RGBA{0x56, 0xb4, 0xe9, 0xff}, color.RGBA{0x55, 0x55, 0x55, 0xff}, color.RGBA{0x94, 0x67, 0xbd, 0xff},
}

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font-family:sans-serif;max-width:62em;margin:2em auto;padding:0 1em}pre{background:#f4f4f4;padding:1em;overflow:auto}svg{max-width:100%;height:auto}figure{margin:1em 0}figcaption{color:#444}</style>
</head><body><h1>{{.Title}}</h1>
{{range .Sections}}<h2>{{.Title}}</h2>
{{if .Text}}<pre>{{.Text}}</pre>
{{end}}{{range .Figures}}<figure>{{.Picture}}<figcaption>{{.Caption}}</figcaption></figure>
{{end}}{{end}}</body></html>
`))

type figure struct {
	Picture template.HTML
	Caption string
}

type renderedSection struct {
	Title, Text string
	Figures     []figure
}

// Write draws the sections and writes them to out as one HTML page.
func Write(out io.Writer, title string, sections []Section) error {
	var all []renderedSection
	for _, s := range sections {
		d := renderedSection{Title: s.Title, Text: s.Text}
		for _, p := range s.Plots {
			picture, err := svg(p.Picture)
			if err != nil {
				return err
			}
			d.Figures = append(d.Figures, figure{template.HTML(picture), p.Caption})
		}
		all = append(all, d)
	}
	return page.Execute(out, struct {
		Title    string
		Sections []renderedSection
	}{title, all})
}

// svg is a plot with its legend beside it, without the head that stands before a file of its own.
func svg(p *plot.Plot) (string, error) {
	canvas := vgsvg.New(width, height)
	area, legend := draw.New(canvas), p.Legend
	p.Legend = plot.NewLegend()
	p.Draw(draw.Crop(area, 0, -legendWidth, 0, 0))
	legend.Draw(draw.Crop(area, width-legendWidth+vg.Points(6), 0, 0, -vg.Points(24)))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	raw := out.Bytes()
	if at := bytes.Index(raw, []byte("<svg")); at >= 0 {
		raw = raw[at:]
	}
	return string(raw), nil
}

// newPlot has a grid, and axes from zero; its legend stands on its right.
func newPlot(title, across, up string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, across, up
	p.Title.TextStyle.Font.Size = vg.Points(13)
	p.Legend.Top, p.Legend.Left = true, true
	p.Legend.TextStyle.Font.Size = vg.Points(9)
	p.Legend.ThumbnailWidth = vg.Points(14)
	p.X.Min, p.Y.Min = 0, 0
	grid := plotter.NewGrid()
	grid.Vertical.Color, grid.Horizontal.Color = color.Gray{0xe0}, color.Gray{0xe0}
	p.Add(grid)
	return p
}

// addLine adds points as one line; a point that is no number is a gap.
func addLine(p *plot.Plot, colourIndex int, name string, points plotter.XYs) error {
	var run plotter.XYs
	isNamed := false
	flush := func() error {
		if len(run) == 0 {
			return nil
		}
		line, dots, err := plotter.NewLinePoints(run)
		if err != nil {
			return err
		}
		line.Color, line.Width = colours[colourIndex%len(colours)], vg.Points(1.4)
		dots.Color, dots.Radius, dots.Shape = line.Color, vg.Points(1.6), draw.CircleGlyph{}
		p.Add(line, dots)
		if !isNamed {
			p.Legend.Add(name, line)
			isNamed = true
		}
		run = nil
		return nil
	}
	for _, at := range points {
		if math.IsNaN(at.Y) {
			if err := flush(); err != nil {
				return err
			}
			continue
		}
		run = append(run, at)
	}
	return flush()
}

// addVerticalLines adds a dashed vertical line over the full height at each position.
func addVerticalLines(p *plot.Plot, name string, positions []float64) {
	if len(positions) == 0 {
		return
	}
	lines := &verticalLines{positions: positions}
	lines.Color, lines.Width, lines.Dashes = color.RGBA{0xb0, 0x20, 0x20, 0xc0}, vg.Points(0.8), []vg.Length{vg.Points(3), vg.Points(3)}
	p.Add(lines)
	p.Legend.Add(fmt.Sprintf("%s (%d)", name, len(positions)), lines)
}

type verticalLines struct {
	draw.LineStyle
	positions []float64
}

func (v *verticalLines) Plot(c draw.Canvas, p *plot.Plot) {
	across, _ := p.Transforms(&c)
	for _, at := range v.positions {
		if x := across(at); x >= c.Min.X && x <= c.Max.X {
			c.StrokeLine2(v.LineStyle, x, c.Min.Y, x, c.Max.Y)
		}
	}
}

func (v *verticalLines) Thumbnail(c *draw.Canvas) {
	y := c.Center().Y
	c.StrokeLine2(v.LineStyle, c.Min.X, y, c.Max.X, y)
}
