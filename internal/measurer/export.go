package measurer

import (
	"encoding/csv"
	"errors"
	"image/color"
	"io"
	"os"
	"path/filepath"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// WriteMeasures writes one CSV row for each run, with a header.
func WriteMeasures(w io.Writer, results []Result) error {
	header := []string{"policy", "seed", "requests", "roll_out_finished"}
	for _, m := range Measures() {
		header = append(header, m.Name)
	}
	rows := [][]string{header}
	for _, r := range results {
		row := []string{r.Policy, strconv.FormatUint(r.Seed, 10), strconv.Itoa(r.Requests), strconv.FormatBool(r.RollOutFinished)}
		for _, m := range Measures() {
			row = append(row, formatNumber(m.Value(r)))
		}
		rows = append(rows, row)
	}
	return Error.Wrap(csv.NewWriter(w).WriteAll(rows))
}

// WriteWaits writes one CSV row for each run, team and class, with a header.
func WriteWaits(w io.Writer, results []Result) error {
	rows := [][]string{{"policy", "seed", "team", "class", "started", "wait_p50_ms", "wait_p99_ms", "wait_p999_ms"}}
	for _, r := range results {
		for _, s := range streams() {
			waits := r.Waits[s]
			row := []string{r.Policy, strconv.FormatUint(r.Seed, 10), s.Team, s.Class, strconv.Itoa(len(waits))}
			for _, q := range quantiles() {
				row = append(row, formatNumber(milliseconds(quantile(waits, q))))
			}
			rows = append(rows, row)
		}
	}
	return Error.Wrap(csv.NewWriter(w).WriteAll(rows))
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }

// Export writes measures.csv, waits.csv and one plot for each measure into a folder,
// which is created if it is absent.
func Export(dir string, results []Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return Error.Wrap(err)
	}
	if err := writeFile(filepath.Join(dir, "measures.csv"), results, WriteMeasures); err != nil {
		return err
	}
	if err := writeFile(filepath.Join(dir, "waits.csv"), results, WriteWaits); err != nil {
		return err
	}
	for _, m := range Measures() {
		if err := savePlot(filepath.Join(dir, m.Name+".png"), m, results); err != nil {
			return err
		}
	}
	return nil
}

func writeFile(path string, results []Result, write func(io.Writer, []Result) error) error {
	f, err := os.Create(path)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := write(f, results); err != nil {
		return errors.Join(err, f.Close())
	}
	return Error.Wrap(f.Close())
}

// bars holds the spread of a measure over the seeds, one for each policy.
type bars []Spread

// Len implements plotter.XYer.
func (b bars) Len() int { return len(b) }

// XY implements plotter.XYer.
func (b bars) XY(i int) (x, y float64) { return float64(i), b[i].Mean }

// YError implements plotter.YErrorer.
func (b bars) YError(i int) (low, high float64) {
	return b[i].Mean - b[i].Min, b[i].Max - b[i].Mean
}

func savePlot(path string, m Measure, results []Result) error {
	names := policyNames(results)
	var values plotter.Values
	var spreads bars
	for _, name := range names {
		s := policySpread(results, name, m.Value)
		spreads = append(spreads, s)
		values = append(values, s.Mean)
	}
	chart, err := plotter.NewBarChart(values, vg.Points(30))
	if err != nil {
		return Error.Wrap(err)
	}
	chart.Color = color.Gray{Y: 0xb0} // light, so that the lower half of an error bar is visible on it
	errorBars, err := plotter.NewYErrorBars(spreads)
	if err != nil {
		return Error.Wrap(err)
	}
	p := plot.New()
	p.Title.Text = m.Title + " (mean, least and greatest over the seeds)"
	p.Y.Label.Text = m.Title
	p.Y.Min = 0
	p.Add(chart, errorBars)
	p.NominalX(names...)
	return Error.Wrap(p.Save(vg.Points(120*float64(max(len(names), 2))), 4*vg.Inch, path))
}
