// Package report generates an HTML page with plots of recorded histories: outcomes and latency
// of requests over time with the faults marked, and bytes sent by kind of message. The page is
// a single file without external resources.
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

// Section is one part of a page. Text is preformatted.
type Section struct {
	Title, Text string
	Plots       []Plot
}

// Plot is a plot and its caption.
type Plot struct {
	Caption string
	Picture *plot.Plot
}

const (
	width       = 10 * vg.Inch
	height      = 3.2 * vg.Inch
	legendWidth = 2.4 * vg.Inch
)

// colors are distinguishable for readers with color vision deficiency.
var colors = []color.Color{
	color.RGBA{0x00, 0x72, 0xb2, 0xff}, color.RGBA{0xd5, 0x5e, 0x00, 0xff}, color.RGBA{0x00, 0x9e, 0x73, 0xff}, color.RGBA{0xcc, 0x79, 0xa7, 0xff},
	color.RGBA{0xe6, 0x9f, 0x00, 0xff}, color.RGBA{0x56, 0xb4, 0xe9, 0xff}, color.RGBA{0x55, 0x55, 0x55, 0xff}, color.RGBA{0x94, 0x67, 0xbd, 0xff},
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
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

// Write renders the sections and writes them to out as one HTML page.
func Write(out io.Writer, title string, sections []Section) error {
	var rendered []renderedSection
	for _, s := range sections {
		section := renderedSection{Title: s.Title, Text: s.Text}
		for _, p := range s.Plots {
			picture, err := renderSVG(p.Picture)
			if err != nil {
				return err
			}
			section.Figures = append(section.Figures, figure{template.HTML(picture), p.Caption})
		}
		rendered = append(rendered, section)
	}
	return pageTemplate.Execute(out, struct {
		Title    string
		Sections []renderedSection
	}{title, rendered})
}

// renderSVG returns a plot with its legend to the right as an <svg> element, without the XML header
// of an SVG file, so that it can be embedded in HTML.
func renderSVG(p *plot.Plot) (string, error) {
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
	if start := bytes.Index(raw, []byte("<svg")); start >= 0 {
		raw = raw[start:]
	}
	return string(raw), nil
}

// newPlot returns a plot with a grid, axes from zero and a legend, which renderSVG places on the
// right.
func newPlot(title, xLabel, yLabel string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, xLabel, yLabel
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

// addLine adds points as one line with a legend entry. A point whose Y is NaN is a gap in the line.
func addLine(p *plot.Plot, colorIndex int, name string, points plotter.XYs) error {
	var segment plotter.XYs
	isInLegend := false
	flush := func() error {
		if len(segment) == 0 {
			return nil
		}
		line, dots, err := plotter.NewLinePoints(segment)
		if err != nil {
			return err
		}
		line.Color, line.Width = colors[colorIndex%len(colors)], vg.Points(1.4)
		dots.Color, dots.Radius, dots.Shape = line.Color, vg.Points(1.6), draw.CircleGlyph{}
		p.Add(line, dots)
		if !isInLegend {
			p.Legend.Add(name, line)
			isInLegend = true
		}
		segment = nil
		return nil
	}
	for _, point := range points {
		if math.IsNaN(point.Y) {
			if err := flush(); err != nil {
				return err
			}
			continue
		}
		segment = append(segment, point)
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
	toX, _ := p.Transforms(&c)
	for _, position := range v.positions {
		if x := toX(position); x >= c.Min.X && x <= c.Max.X {
			c.StrokeLine2(v.LineStyle, x, c.Min.Y, x, c.Max.Y)
		}
	}
}

func (v *verticalLines) Thumbnail(c *draw.Canvas) {
	y := c.Center().Y
	c.StrokeLine2(v.LineStyle, c.Min.X, y, c.Max.X, y)
}
