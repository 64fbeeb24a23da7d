//go:build ignore

// Draws the worth of each standard day over the full scores in journal/, one picture a site: go run deploy/worth.go
package main

import (
	"encoding/json"
	"fmt"
	"image/color"
	"log"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	width  = 20 * vg.Centimeter
	height = 9 * vg.Centimeter
	// freshDay begins the names of days that are drawn anew for each score.
	freshDay = "fresh"
)

// entry is the part of a journal entry that is drawn.
type entry struct {
	Site    string `json:"site"`
	Command string `json:"cmd"`
	Days    []struct {
		Name  string  `json:"name"`
		Worth float64 `json:"G"`
	} `json:"days"`
}

func main() {
	files, err := filepath.Glob("journal/*.json")
	if err != nil {
		log.Fatal(err)
	}
	slices.Sort(files) // The names begin with the time.
	scores := make(map[string][]entry)
	for _, file := range files {
		var e entry
		data, err := os.ReadFile(file)
		if err == nil {
			err = json.Unmarshal(data, &e)
		}
		if err != nil {
			log.Fatalf("%s: %v", file, err)
		}
		if e.Command == "score" && len(e.Days) > 2 {
			scores[e.Site] = append(scores[e.Site], e)
		}
	}
	for site, entries := range scores {
		if err := draw(site, entries); err != nil {
			log.Fatal(err)
		}
	}
}

// draw writes the picture of one site.
func draw(site string, entries []entry) error {
	p := plot.New()
	p.Title.Text = site
	p.X.Label.Text = "full scores, the oldest first"
	p.Y.Label.Text = "worth"
	p.BackgroundColor = color.White
	p.Legend.Top, p.Legend.Left = true, true
	days := make(map[string]plotter.XYs)
	for i, e := range entries {
		for _, d := range e.Days {
			if !strings.HasPrefix(d.Name, freshDay) {
				days[d.Name] = append(days[d.Name], plotter.XY{X: float64(i + 1), Y: d.Worth})
			}
		}
	}
	for i, name := range slices.Sorted(maps.Keys(days)) {
		line, points, err := plotter.NewLinePoints(days[name])
		if err != nil {
			return err
		}
		line.Color, points.Color = plotutil.Color(i), plotutil.Color(i)
		p.Add(line, points)
		p.Legend.Add(name, line)
	}
	return p.Save(width, height, fmt.Sprintf("docs/worth-%s.svg", site))
}
