// The lines of least squares, the table over sizes, and what a size may be.
package hollow

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"
)

func TestALineThroughPointsOnALineIsThatLine(t *testing.T) {
	line := Fit([]float64{15, 60, 150, 300}, []float64{35, 125, 305, 605})
	if math.Abs(line.Slope-2) > 1e-9 || math.Abs(line.Start-5) > 1e-9 || math.Abs(line.Fit-1) > 1e-9 || math.Abs(line.At(460)-925) > 1e-9 {
		t.Fatalf("%+v, %v at 460", line, line.At(460))
	}
}

func TestALineHasTheLeastSquares(t *testing.T) {
	sizes, values := []float64{1, 2, 3, 4}, []float64{1, 3, 2, 5}
	line := Fit(sizes, values)
	squares := func(l Line) (sum float64) {
		for i, x := range sizes {
			sum += (l.At(x) - values[i]) * (l.At(x) - values[i])
		}
		return sum
	}
	least := squares(line)
	for _, d := range []float64{-0.01, 0.01} {
		if squares(Line{Slope: line.Slope + d, Start: line.Start}) <= least || squares(Line{Slope: line.Slope, Start: line.Start + d}) <= least {
			t.Fatalf("a line beside %+v has smaller squares", line)
		}
	}
	if math.Abs(line.Slope-1.1) > 1e-9 || math.Abs(line.Start) > 1e-9 || math.Abs(line.Fit-0.691428571) > 1e-6 {
		t.Fatalf("%+v", line)
	}
}

func TestOneSizeOrOneValueHasNoSlope(t *testing.T) {
	for _, sizes := range [][]float64{{7}, {7, 7}, {7, 9}} {
		if line := Fit(sizes, []float64{4, 4}[:len(sizes)]); line.Slope != 0 || line.At(460) != 4 || math.IsNaN(line.Fit) {
			t.Fatalf("%v: %+v", sizes, line)
		}
	}
}

func TestTheTableGoesUpTheAxisAndLeavesGapsOpen(t *testing.T) {
	reports := []Report{
		{Size{Gates: 60}, map[string]float64{"gate cpu ms/s": 20, "gate memory MB": 9}},
		{Size{Gates: 15}, map[string]float64{"gate cpu ms/s": 5}},
		{Size{Gates: 30}, map[string]float64{"gate cpu ms/s": 10}},
	}
	var out bytes.Buffer
	if err := Slopes(&out, reports, "gates", 460, []string{"cpu", "memory"}); err != nil {
		t.Fatal(err)
	}
	want := strings.Join([]string{
		"| gates | 15 | 30 | 60 | slope | fit | at 460 |",
		"| --- | --- | --- | --- | --- | --- | --- |",
		"| gate cpu ms/s | 5 | 10 | 20 | 0.333 | 1.00 | 153 |",
		"| gate memory MB | - | - | 9 | 0 | 0.00 | 9 |", ""}, "\n")
	if out.String() != want {
		t.Fatalf("%s\nis not\n%s", out.String(), want)
	}
	if Slopes(&out, reports, "moons", 1, nil) == nil {
		t.Fatal("an axis that is none was taken")
	}
}

func TestSharesOfValues(t *testing.T) {
	values := []int64{5, 1, 4, 2, 3}
	for hundredths, want := range map[int]float64{0: 1, 50: 3, 99: 5, 100: 5} {
		if got := share(values, hundredths); got != want {
			t.Fatalf("%d: %v, not %v", hundredths, got, want)
		}
	}
	if share(nil, 50) != 0 || values[0] != 5 {
		t.Fatal("no values have no share, and the values stay as they were")
	}
}

func TestASizeOutOfBoundsIsRefusedByName(t *testing.T) {
	fine := Size{Gates: 15, Targets: 100, Services: 10, Routes: 100, Cores: 3, Zones: 7, Processes: 4, Seconds: 15, Changes: 3, Pace: 40, Beat: time.Second}
	if err := fine.Check(); err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(*Size){
		"gates": func(s *Size) { s.Gates = 0 }, "processes": func(s *Size) { s.Processes = 301 }, "cores": func(s *Size) { s.Cores = 2 },
		"routes": func(s *Size) { s.Routes = 20001 }, "beat": func(s *Size) { s.Beat = time.Millisecond },
	} {
		size := fine
		spoil(&size)
		if err := size.Check(); err == nil || !strings.Contains(err.Error(), "--"+name) {
			t.Fatalf("%s: %v", name, err)
		}
	}
}

func TestFiguresAreOfOneNodeASecond(t *testing.T) {
	before, after := &moment{at: time.Unix(0, 0), roles: map[string]*counts{}}, &moment{at: time.Unix(10, 0), roles: map[string]*counts{}, beats: 500}
	for _, m := range []*moment{before, after} {
		m.of(Hollow).nodes = 4
	}
	after.of(Hollow).cpu = 2 * time.Second
	after.of(Hollow).add("kin.probe", 100, 40000)
	after.of(Hollow).add("kin.probe between", 300, 80000)
	into := map[string]float64{}
	figures(before, after, into)
	for name, want := range map[string]float64{"gate cpu ms/s": 50, "gate sent messages/s": 10, "gate kin.probe bytes/s": 3000, "gate between zones bytes/s": 2000, "fleet bytes/s a node": 3000, "beats/s": 50} {
		if math.Abs(into[name]-want) > 1e-9 {
			t.Fatalf("%s: %v, not %v", name, into[name], want)
		}
	}
}
