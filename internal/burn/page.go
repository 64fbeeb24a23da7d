package burn

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"time"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"citronslip/internal/wire"
)

const (
	// chartWidth and chartHeight are about the size at which a phone shows a chart, so that its text stays readable.
	chartWidth  = 4.4 * vg.Inch
	chartHeight = 2.4 * vg.Inch
	// maxLevelCharts is the maximum number of levels with a chart; the table lists all levels.
	maxLevelCharts = 24
	// maxBudgetBars is the maximum number of budgets in the bar chart.
	maxBudgetBars = 12
	// maxBudgetNameLength is the maximum length of a budget's name in the bar chart, in characters.
	maxBudgetNameLength = 24
)

var (
	blue = color.RGBA{R: 0x1f, G: 0x5f, B: 0x8b, A: 0xff}
	red  = color.RGBA{R: 0xb0, G: 0x3a, B: 0x2e, A: 0xff}

	pageTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
		"subject": scopeLabel,
		"percent": func(b wire.BudgetBurn) string { return fmt.Sprintf("%.1f%%", 100*spentShare(b)) },
		"rate":    func(r float64) string { return fmt.Sprintf("%.2f", r) },
		"date":    func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04 UTC") },
	}).Parse(pageTemplateText))
)

type (
	// pageData is the input of pageTemplate.
	pageData struct {
		*wire.Burn
		Charts []chart
	}

	// chart is an SVG image with its caption.
	chart struct {
		Caption string
		Image   template.HTML
	}
)

// WriteHTML writes a report as one self-contained HTML page. The error is that of drawing a chart or of the writer.
func WriteHTML(w io.Writer, report *wire.Burn) error {
	data := pageData{Burn: report}
	for _, l := range report.Levels[:min(len(report.Levels), maxLevelCharts)] {
		image, err := levelChart(l)
		if err != nil {
			return trace.Wrap(err)
		}
		caption := fmt.Sprintf("%s: burn rate by the hour (%s, goal %g)", l.Name, scopeLabel(l), l.Goal)
		data.Charts = append(data.Charts, chart{Caption: caption, Image: image})
	}
	if len(report.Budgets) > 0 {
		image, err := budgetChart(report.Budgets[:min(len(report.Budgets), maxBudgetBars)])
		if err != nil {
			return trace.Wrap(err)
		}
		data.Charts = append(data.Charts, chart{Caption: "Budgets used up first: share spent, in percent", Image: image})
	}
	return trace.Wrap(pageTemplate.Execute(w, data))
}

// levelChart draws the hourly burn rate of a level, with a line at 1.
func levelChart(l wire.LevelBurn) (template.HTML, error) {
	p := plot.New()
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	p.X.Tick.Marker = plot.TickerFunc(dayTicks)
	points := make(plotter.XYs, len(l.Series))
	limitLine := make(plotter.XYs, 0, 2)
	for i, point := range l.Series {
		points[i] = plotter.XY{X: float64(point.Time.Unix()), Y: point.Rate}
		if i == 0 || i == len(l.Series)-1 {
			limitLine = append(limitLine, plotter.XY{X: points[i].X, Y: 1})
		}
	}
	for _, series := range []struct {
		points plotter.XYs
		color  color.Color
	}{{points, blue}, {limitLine, red}} {
		if len(series.points) == 0 {
			continue
		}
		line, err := plotter.NewLine(series.points)
		if err != nil {
			return "", err
		}
		line.Color, line.Width = series.color, vg.Points(1.2)
		p.Add(line)
	}
	p.Y.Max *= 1.05
	return renderSVG(p)
}

// budgetChart draws the spent share of each budget as a bar chart.
func budgetChart(budgets []wire.BudgetBurn) (template.HTML, error) {
	p := plot.New()
	values := make(plotter.Values, len(budgets))
	names := make([]string, len(budgets))
	for i, b := range budgets {
		// The chart starts at the bottom; the first budget is drawn at the top.
		row := len(budgets) - 1 - i
		values[row], names[row] = 100*spentShare(b), truncateStart(b.Account+"/"+b.Budget)
	}
	chart, err := plotter.NewBarChart(values, vg.Points(8))
	if err != nil {
		return "", err
	}
	chart.Horizontal, chart.Color, chart.LineStyle.Width = true, blue, 0
	p.Add(chart)
	p.NominalY(names...)
	p.Y.Tick.Label.Font.Size = vg.Points(9)
	p.X.Min, p.X.Max = 0, max(100, p.X.Max)
	p.Y.Min, p.Y.Max = -0.7, float64(len(budgets))-0.3
	return renderSVG(p)
}

// dayTicks returns a tick every six hours, with a date label at midnight UTC. The limits are Unix times.
func dayTicks(from, to float64) []plot.Tick {
	var ticks []plot.Tick
	tickTime := time.Unix(int64(from), 0).UTC().Truncate(24 * time.Hour)
	for ; float64(tickTime.Unix()) <= to; tickTime = tickTime.Add(6 * time.Hour) {
		if float64(tickTime.Unix()) < from {
			continue
		}
		tick := plot.Tick{Value: float64(tickTime.Unix())}
		if tickTime.Hour() == 0 {
			tick.Label = tickTime.Format("Jan 2")
		}
		ticks = append(ticks, tick)
	}
	return ticks
}

// truncateStart cuts off the start of a long name. Its end tells the budgets of an account apart.
func truncateStart(name string) string {
	letters := []rune(name)
	if len(letters) <= maxBudgetNameLength {
		return name
	}
	return "…" + string(letters[len(letters)-maxBudgetNameLength+1:])
}

// renderSVG draws a chart as an SVG element without the XML prolog.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	p.BackgroundColor = color.Transparent
	canvas := vgsvg.New(chartWidth, chartHeight)
	// The left margin allows for labels that are slightly wider than measured, since the page uses other fonts.
	p.Draw(draw.Crop(draw.New(canvas), vg.Points(8), -vg.Points(8), 0, 0))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return "", err
	}
	start := bytes.Index(svg.Bytes(), []byte("<svg"))
	if start < 0 {
		return "", trace.BadParameter("chart library wrote no <svg> element")
	}
	// The chart library has escaped the text.
	return template.HTML(svg.Bytes()[start:]), nil
}
