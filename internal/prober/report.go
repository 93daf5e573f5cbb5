package prober

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"
)

func itoa(n int) string { return strconv.Itoa(n) }

// merge pools the outcomes of two runs at the same rate.
func (o outcome) merge(other outcome) outcome {
	merged := outcome{
		latencies: slices.Concat(o.latencies, other.latencies),
		failed:    o.failed + other.failed,
		firstErr:  o.firstErr,
		elapsed:   o.elapsed + other.elapsed,
	}
	if merged.firstErr == nil {
		merged.firstErr = other.firstErr
	}
	slices.Sort(merged.latencies)
	return merged
}

func microseconds(d time.Duration) string { return strconv.FormatInt(d.Microseconds(), 10) }

func header() []string {
	return []string{
		"phase", "path", "rate_per_s", "answered", "failed", "throughput_per_s",
		"p50_us", "p99_us", "p999_us", "added_p50_us", "added_p99_us", "added_p999_us",
		"entry_cpu_ms", "answers_per_core_s", "load_average", "first_error",
	}
}

func (r Row) fields() []string {
	return []string{
		r.Phase, r.Path, itoa(r.Rate), itoa(r.Answered), itoa(r.Failed), strconv.FormatFloat(r.Throughput, 'f', 0, 64),
		microseconds(r.P50), microseconds(r.P99), microseconds(r.P999),
		microseconds(r.AddedP50), microseconds(r.AddedP99), microseconds(r.AddedP999),
		strconv.FormatInt(r.EntryCPU.Milliseconds(), 10), strconv.FormatFloat(r.AnswersPerCoreSecond, 'f', 0, 64), r.LoadAverage, r.FirstError,
	}
}

// WriteTable writes all rows as an aligned table, followed by the first error of each
// single run that has one.
func (r Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	columns := len(header()) - 1 // errors are too long for a table
	line := func(fields []string) {
		for _, field := range fields[:columns] {
			fmt.Fprintf(table, "%s\t", field)
		}
		fmt.Fprintln(table)
	}
	line(header())
	for _, row := range slices.Concat(r.Rows, r.HalfLoad) {
		line(row.fields())
	}
	if err := table.Flush(); err != nil {
		return Error.Wrap(err)
	}
	for _, row := range r.Rows {
		if row.FirstError != "" {
			fmt.Fprintf(w, "%s at %d/s: %s\n", row.Path, row.Rate, row.FirstError)
		}
	}
	return nil
}

// WriteCSV writes all rows to a file.
func (r Report) WriteCSV(name string) error {
	file, err := os.Create(name)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = file.Close() }() // for early returns; has no effect after the Close below
	w := csv.NewWriter(file)
	if err := w.Write(header()); err != nil {
		return Error.Wrap(err)
	}
	for _, row := range slices.Concat(r.Rows, r.HalfLoad) {
		if err := w.Write(row.fields()); err != nil {
			return Error.Wrap(err)
		}
	}
	w.Flush()
	if err := w.Error(); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(file.Close())
}
