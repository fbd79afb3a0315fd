// Tables: one run's figures by role, and several runs' figures beside one another
// along one axis, with the slope that least squares gives and what it comes to at
// another size. A straight line is all that is claimed: its fit stands beside it.
package hollow

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// Axes are the sizes along which runs may differ.
var Axes = map[string]func(Size) float64{
	"gates":    func(s Size) float64 { return float64(s.Gates) },
	"targets":  func(s Size) float64 { return float64(s.Targets) },
	"services": func(s Size) float64 { return float64(s.Services) },
	"routes":   func(s Size) float64 { return float64(s.Routes) },
	"beats":    func(s Size) float64 { return float64(s.Targets) / s.Beat.Seconds() },
}

// Line is a figure over sizes, fitted by least squares.
type Line struct {
	Slope, Start, Fit float64
}

// Fit is the line through points; its fit is the share of the variance it explains.
func Fit(sizes, values []float64) Line {
	if len(sizes) < 2 || slices.Min(sizes) == slices.Max(sizes) {
		return Line{Start: stat.Mean(values, nil)}
	}
	start, slope := stat.LinearRegression(sizes, values, nil, false)
	fit := 1.0
	if slices.Min(values) != slices.Max(values) {
		fit = stat.RSquared(sizes, values, nil, start, slope)
	}
	return Line{slope, start, fit}
}

// At is the line's value at a size.
func (l Line) At(size float64) float64 { return l.Start + l.Slope*size }

// Slopes writes a Markdown table of the figures that match any of the words, over
// one axis, and what each comes to at a size.
func Slopes(out io.Writer, reports []Report, axis string, at float64, words []string) error {
	sizeOf, ok := Axes[axis]
	if !ok {
		return errcode.New(errcode.BadCall, "there is no axis %q", axis)
	}
	reports = slices.Clone(reports)
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(sizeOf(a.Size), sizeOf(b.Size)) })
	names := map[string]bool{}
	var sizes []float64
	for _, r := range reports {
		sizes = append(sizes, sizeOf(r.Size))
		for name := range r.Figures {
			if len(words) == 0 || slices.ContainsFunc(words, func(w string) bool { return strings.Contains(name, w) }) {
				names[name] = true
			}
		}
	}
	head, rule := "| "+axis+" |", "| --- |"
	for _, size := range sizes {
		head += fmt.Sprintf(" %s |", Short(size))
		rule += " --- |"
	}
	fmt.Fprintf(out, "%s slope | fit | at %s |\n%s --- | --- | --- |\n", head, Short(at), rule)
	for _, name := range sorted(names) {
		var values, its []float64
		row := "| " + name + " |"
		for i, r := range reports {
			value, ok := r.Figures[name]
			if !ok {
				row += " - |"
				continue
			}
			row += " " + Short(value) + " |"
			values, its = append(values, value), append(its, sizes[i])
		}
		line := Fit(its, values)
		fmt.Fprintf(out, "%s %s | %.2f | %s |\n", row, Short(line.Slope), line.Fit, Short(line.At(at)))
	}
	return nil
}

// Short writes a number with three figures that count.
func Short(value float64) string {
	size := max(value, -value)
	switch {
	case size >= 100 || value == 0:
		return fmt.Sprintf("%.0f", value)
	case size >= 0.001:
		return fmt.Sprintf("%.3g", value)
	}
	return fmt.Sprintf("%.1e", value)
}

func sorted[T any](names map[string]T) (list []string) {
	for name := range names {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// Roles is what a node may be in a run.
var Roles = []string{Hollow, Real, Planner, Owner, Other, Target}

// Print writes one run's figures: a row for each role, then what each sends by
// kind, then the rest.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "\n%-12s %6s %10s %10s %12s %12s %14s\n", "one of", "nodes", "cpu ms/s", "memory MB", "messages/s", "bytes/s", "between zones")
	for _, role := range Roles {
		if r.Figures[role+" nodes"] == 0 {
			continue
		}
		fmt.Fprintf(out, "%-12s", role)
		for i, name := range []string{"nodes", "cpu ms/s", "memory MB", "sent messages/s", "sent bytes/s", "between zones bytes/s"} {
			fmt.Fprintf(out, " %*s", []int{6, 10, 10, 12, 12, 14}[i], Short(r.Figures[role+" "+name]))
		}
		fmt.Fprintln(out)
	}
	rest := map[string]bool{}
	for name := range r.Figures {
		rest[name] = true
	}
	for _, role := range Roles {
		for _, name := range sorted(r.Figures) {
			if !strings.HasPrefix(name, role+" ") {
				continue
			}
			delete(rest, name)
			kind, isBytes := strings.CutSuffix(strings.TrimPrefix(name, role+" "), " bytes/s")
			if isBytes && strings.Contains(kind, ".") && r.Figures[name] > 0 {
				fmt.Fprintf(out, "  %-12s %-24s %10s messages/s %12s bytes/s\n", role, kind, Short(r.Figures[role+" "+kind+" messages/s"]), Short(r.Figures[name]))
			}
			if strings.HasSuffix(name, "change bytes") || strings.HasSuffix(name, " /s") && r.Figures[name] > 0 {
				rest[name] = true
			}
		}
	}
	for _, name := range sorted(rest) {
		fmt.Fprintf(out, "%-40s %s\n", name, Short(r.Figures[name]))
	}
}
