//go:build ignore

// Plots the worth of each standard day, which journal/ records as G, over the recorded full scoring runs, and writes
// one SVG file for each site to docs/. Run it at the root of the repository: go run deploy/worth.go
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
	chartWidth  = 20 * vg.Centimeter
	chartHeight = 9 * vg.Centimeter
	// freshDayPrefix begins the names of days that are generated anew for each scoring run. They are not plotted,
	// because their figures cannot be compared between runs.
	freshDayPrefix = "fresh"
)

// journalEntry holds the fields of a journal entry that are plotted. Only entries of the command score with more than
// two days are full scoring runs.
type journalEntry struct {
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
	slices.Sort(files) // File names begin with the time, so this is the order of the runs.
	entriesBySite := make(map[string][]journalEntry)
	for _, file := range files {
		var entry journalEntry
		data, err := os.ReadFile(file)
		if err == nil {
			err = json.Unmarshal(data, &entry)
		}
		if err != nil {
			log.Fatalf("%s: %v", file, err)
		}
		if entry.Command == "score" && len(entry.Days) > 2 {
			entriesBySite[entry.Site] = append(entriesBySite[entry.Site], entry)
		}
	}
	for site, entries := range entriesBySite {
		if err := plotSite(site, entries); err != nil {
			log.Fatal(err)
		}
	}
}

// plotSite plots the entries of one site, the oldest first, and writes the chart to docs/worth-SITE.svg.
func plotSite(site string, entries []journalEntry) error {
	chart := plot.New()
	chart.Title.Text = site
	chart.X.Label.Text = "full scores, the oldest first"
	chart.Y.Label.Text = "worth"
	chart.BackgroundColor = color.White
	chart.Legend.Top, chart.Legend.Left = true, true
	pointsByDay := make(map[string]plotter.XYs)
	for i, entry := range entries {
		for _, day := range entry.Days {
			if !strings.HasPrefix(day.Name, freshDayPrefix) {
				pointsByDay[day.Name] = append(pointsByDay[day.Name], plotter.XY{X: float64(i + 1), Y: day.Worth})
			}
		}
	}
	for i, name := range slices.Sorted(maps.Keys(pointsByDay)) {
		line, points, err := plotter.NewLinePoints(pointsByDay[name])
		if err != nil {
			return err
		}
		line.Color, points.Color = plotutil.Color(i), plotutil.Color(i)
		chart.Add(line, points)
		chart.Legend.Add(name, line)
	}
	return chart.Save(chartWidth, chartHeight, fmt.Sprintf("docs/worth-%s.svg", site))
}
