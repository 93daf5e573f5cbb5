// Package prober measures what an entry daemon adds to a request. It starts real
// processes on loopback and compares calls through the entry daemon with direct
// calls to the same workers, in an open loop at fixed rates.
package prober

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/comfreyford/comfreyford/internal/demonstrator"
)

// Error is the class of all errors of this package.
var Error = errs.Class("prober")

const (
	warmUpRate = 500 // requests per second
	// A rate counts as sustained up to these bounds: above saturation, the median of an
	// open loop grows with the length of the run.
	maxFailedFraction = 0.01
	maxSustainedP50   = 10 * time.Millisecond
	// Workers scan all answers that they retain once per second; with the default
	// retention, a scan would take longer than the latencies that are measured.
	answerRetention = time.Second
	profileTimeout  = 30 * time.Second
	// A rate counts as too high after this many runs in a row that did not sustain it:
	// other processes of the machine can delay the entry daemon by more than maxSustainedP50.
	saturatedRuns = 3
)

// Config configures a measurement.
type Config struct {
	Program  string    // path of the comfreyford binary
	Log      io.Writer // progress
	Seed     uint64
	Rates    []int // requests per second, ascending
	Duration time.Duration
	Rounds   int    // runs of each path at half load
	Profile  string // file for the processor profile of the entry daemon at half load; may be empty
}

// Row is one run of one path at one rate.
type Row struct {
	Phase                string // "rates" or "half_load"
	Path                 string // "direct", "open" or "keyed"
	Rate                 int    // planned requests per second
	Answered             int
	Failed               int
	Throughput           float64 // answers per second
	P50                  time.Duration
	P99                  time.Duration
	P999                 time.Duration
	AddedP50             time.Duration // in excess of the direct path at the same rate
	AddedP99             time.Duration
	AddedP999            time.Duration
	EntryCPU             time.Duration // processor time of the entry daemon during the run
	AnswersPerCoreSecond float64       // answers per second of the entry daemon's processor time
	LoadAverage          string        // of the machine over 1 minute, before the run
	FirstError           string
}

// Report is the result of a measurement.
type Report struct {
	Rows         []Row
	HalfLoad     []Row // pooled over all rounds, in the order of the paths
	HalfLoadRate int   // planned requests per second at half load
}

type prober struct {
	cfg   Config
	in    *demonstrator.Installation
	paths paths
	seed  uint64
}

// Run starts an installation with one entry daemon and measures it. It returns an error if
// the lowest rate is not sustained.
func Run(ctx context.Context, cfg Config) (report Report, err error) {
	dir, err := os.MkdirTemp("", "comfreyford-latency-")
	if err != nil {
		return Report{}, Error.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	in, err := demonstrator.Start(ctx, demonstrator.Config{
		Program:         cfg.Program,
		Dir:             dir,
		Zones:           1,
		EntriesPerZone:  1,
		Log:             cfg.Log,
		AnswerRetention: answerRetention,
		Profiling:       cfg.Profile != "",
	})
	if err != nil {
		return Report{}, Error.Wrap(err)
	}
	p := &prober{
		cfg:   cfg,
		in:    in,
		paths: newPaths(in),
		seed:  cfg.Seed,
	}
	defer func() {
		p.paths.close()
		err = errors.Join(err, Error.Wrap(in.Stop(ctx)))
	}()
	return p.run(ctx)
}

func (p *prober) run(ctx context.Context) (Report, error) {
	for _, w := range p.allPaths() {
		load{
			rate:     warmUpRate,
			duration: time.Second,
			seed:     p.cfg.Seed,
		}.run(ctx, w.call)
	}
	report, err := p.rates(ctx)
	if err != nil {
		return report, err
	}
	return report, p.halfLoad(ctx, &report)
}

func (p *prober) allPaths() []path {
	return []path{p.paths.direct, p.paths.open, p.paths.keyed}
}

// rates measures all paths at rising rates until the entry daemon is saturated, and sets
// Report.HalfLoadRate to half of the highest rate that both queues sustained.
func (p *prober) rates(ctx context.Context) (Report, error) {
	var report Report
	highest := 0
	for _, rate := range p.cfg.Rates {
		sustained := false
		for n := 0; n < saturatedRuns && !sustained; n++ {
			rows, _, err := p.compare(ctx, "rates", rate)
			if err != nil {
				return report, err
			}
			report.Rows = append(report.Rows, rows...)
			sustained = rows[1].sustained() && rows[2].sustained()
		}
		if !sustained {
			break
		}
		highest = rate
	}
	if highest == 0 {
		return report, Error.New("the lowest rate, %d/s, was not sustained", p.cfg.Rates[0])
	}
	report.HalfLoadRate = highest / 2
	return report, nil
}

// sustained reports whether the path kept up with the rate.
func (r Row) sustained() bool {
	return float64(r.Failed) <= maxFailedFraction*float64(r.Answered+r.Failed) && r.P50 <= maxSustainedP50
}

// halfLoad repeats the comparison at half load and pools the latencies of the rounds.
func (p *prober) halfLoad(ctx context.Context, report *Report) error {
	profiled := make(chan error, 1)
	if p.cfg.Profile == "" {
		profiled <- nil
	} else {
		go func() { profiled <- p.profile(ctx) }()
	}
	pooled := make([]outcome, len(p.allPaths()))
	cpu := make([]time.Duration, len(pooled))
	for range p.cfg.Rounds {
		rows, outcomes, err := p.compare(ctx, "half_load", report.HalfLoadRate)
		if err != nil {
			return errors.Join(err, <-profiled)
		}
		report.Rows = append(report.Rows, rows...)
		for i, o := range outcomes {
			pooled[i] = pooled[i].merge(o)
			cpu[i] += rows[i].EntryCPU
		}
	}
	for i, w := range p.allPaths() {
		row := newRow("half_load_pooled", w.name, report.HalfLoadRate, pooled[i], pooled[0])
		row.setCPU(cpu[i])
		report.HalfLoad = append(report.HalfLoad, row)
	}
	return <-profiled
}

// compare runs each path once at the rate with the same arrivals.
func (p *prober) compare(ctx context.Context, phase string, rate int) ([]Row, []outcome, error) {
	p.seed++
	var rows []Row
	var outcomes []outcome
	for _, w := range p.allPaths() {
		if err := ctx.Err(); err != nil {
			return nil, nil, Error.Wrap(err)
		}
		average := loadAverage()
		before, err := p.in.Entries[0].CPUTime()
		if err != nil {
			return nil, nil, Error.Wrap(err)
		}
		o := load{
			rate:     float64(rate),
			duration: p.cfg.Duration,
			seed:     p.seed,
		}.run(ctx, w.call)
		after, err := p.in.Entries[0].CPUTime()
		if err != nil {
			return nil, nil, Error.Wrap(err)
		}
		outcomes = append(outcomes, o)
		row := newRow(phase, w.name, rate, o, outcomes[0])
		row.setCPU(after - before)
		row.LoadAverage = average
		rows = append(rows, row)
	}
	return rows, outcomes, nil
}

func newRow(phase, name string, rate int, o, direct outcome) Row {
	row := Row{
		Phase:      phase,
		Path:       name,
		Rate:       rate,
		Answered:   len(o.latencies),
		Failed:     o.failed,
		Throughput: o.throughput(),
		P50:        o.quantile(0.5),
		P99:        o.quantile(0.99),
		P999:       o.quantile(0.999),
	}
	row.AddedP50 = row.P50 - direct.quantile(0.5)
	row.AddedP99 = row.P99 - direct.quantile(0.99)
	row.AddedP999 = row.P999 - direct.quantile(0.999)
	if o.firstErr != nil {
		row.FirstError = o.firstErr.Error()
	}
	return row
}

// setCPU sets EntryCPU and AnswersPerCoreSecond. AnswersPerCoreSecond stays zero for direct
// calls, which do not go through the entry daemon.
func (r *Row) setCPU(cpu time.Duration) {
	r.EntryCPU = cpu
	if cpu > 0 && r.Path != "direct" {
		r.AnswersPerCoreSecond = float64(r.Answered) / cpu.Seconds()
	}
}

// profile writes a processor profile that covers the runs at half load.
func (p *prober) profile(ctx context.Context) error {
	seconds := max(1, int((p.cfg.Duration * time.Duration(p.cfg.Rounds*len(p.allPaths()))).Seconds()))
	ctx, cancel := context.WithTimeout(ctx, time.Duration(seconds)*time.Second+profileTimeout)
	defer cancel()
	url := "http://" + p.in.Entries[0].MetricsAddress + "/debug/pprof/profile?seconds=" + itoa(seconds)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Error.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Error.New("profile: %s", resp.Status)
	}
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(p.cfg.Profile, content, 0o600))
}

// loadAverage returns the load average of the last minute, or "" if /proc/loadavg is unreadable.
func loadAverage() string {
	content, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	first, _, _ := strings.Cut(string(content), " ")
	return first
}
