package demonstrator

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/comfreyford/comfreyford/internal/generator"
)

const (
	progressInterval = time.Second
	demoConcurrency  = 32
)

// Options are the flags of the demo.
type Options struct {
	Config
	Seed      uint64
	Requests  int
	KillEntry bool // kill one entry daemon after half of the requests were sent
}

// Demo runs an installation under load and returns counts of what callers received and
// workers ran.
func Demo(ctx context.Context, options Options) (Summary, error) {
	dir, err := os.MkdirTemp("", "comfreyford-demo-")
	if err != nil {
		return Summary{}, Error.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	options.Dir = dir
	in, err := Start(ctx, options.Config)
	if err != nil {
		return Summary{}, err
	}
	summary, err := in.demo(ctx, options)
	if err != nil {
		in.Kill()
		return summary, err
	}
	in.progress("stopping")
	return summary, in.Stop(ctx)
}

func (in *Installation) demo(ctx context.Context, options Options) (Summary, error) {
	g, err := generator.New(generator.Config{
		Addresses:   in.CallerAddresses(),
		Streams:     in.Streams(),
		Requests:    options.Requests,
		Concurrency: demoConcurrency,
		Seed:        options.Seed,
		MinDuration: 2 * time.Millisecond,
		MaxDuration: 40 * time.Millisecond,
		MaxBody:     4 << 10,
	})
	if err != nil {
		return Summary{}, err
	}
	done := make(chan struct{})
	go func() {
		g.Run(ctx)
		close(done)
	}()
	in.follow(g, options, done)
	runs, err := in.Runs()
	if err != nil {
		return Summary{}, err
	}
	summary := Summarize(g.Counts(), g.CompletedRequests(), runs, in.Limits())
	if !summary.OK() || summary.OutcomeUnknown > 0 {
		in.printUnanswered(g)
	}
	return summary, nil
}

// follow prints progress until the load has ended. If options ask for it, it kills an entry
// daemon after half of the requests were sent.
func (in *Installation) follow(g *generator.Generator, options Options, done <-chan struct{}) {
	ticker := time.NewTicker(progressInterval / 20)
	defer ticker.Stop()
	shown := time.Now()
	killed := !options.KillEntry
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		counts := g.Counts()
		if !killed && counts.Sent >= int64(options.Requests)/2 {
			killed = true
			in.progress("kill %s", in.Entries[0].Name)
			in.Entries[0].Kill()
		}
		if time.Since(shown) >= progressInterval {
			shown = time.Now()
			in.progress("sent %d, answered %d, repeats %d", counts.Sent, counts.Answered, counts.Repeats)
		}
	}
}

// printUnanswered prints the requests that ended without a correct answer.
func (in *Installation) printUnanswered(g *generator.Generator) {
	for _, e := range g.CompletedRequests() {
		if e.Outcome != generator.OutcomeAnswered {
			in.progress("%s %s: %s after %s: %s", e.Stream.Queue, e.Identity, e.Outcome, e.Duration.Round(time.Millisecond), e.Detail)
		}
	}
}

// CallerAddresses returns the addresses at which the entry daemons accept callers.
func (in *Installation) CallerAddresses() []string {
	var addresses []string
	for _, e := range in.Entries {
		addresses = append(addresses, e.CallerAddress)
	}
	return addresses
}

// Limits returns the upper limits of the teams, in slots.
func (in *Installation) Limits() map[string]int {
	limits := map[string]int{}
	for name, t := range in.plan.Teams {
		limits[name] = t.Limit
	}
	return limits
}

// Streams returns the mixed load of the demo.
func (in *Installation) Streams() []generator.Stream {
	return []generator.Stream{
		{
			Queue:  "quotes",
			Method: http.MethodGet,
			Weight: 4,
		},
		{
			Queue:  "stock",
			Team:   "orders",
			Key:    in.Keys["orders"],
			Method: http.MethodGet,
			Weight: 4,
		},
		{
			Queue:  "orders",
			Team:   "orders",
			Key:    in.Keys["orders"],
			Method: http.MethodPost,
			Weight: 3,
		},
		{
			Queue:      "ledgers",
			Team:       "planning",
			Key:        in.Keys["planning"],
			Method:     http.MethodPut,
			Deferrable: true,
			Weight:     1,
		},
		{
			Queue:      "ledgers",
			Team:       "planning",
			Key:        in.Keys["planning"],
			Method:     http.MethodPost,
			Deferrable: true,
			Weight:     1,
		},
	}
}

// String implements fmt.Stringer.
func (s Summary) String() string {
	return fmt.Sprintf("%d sent, %d answered, %d refused, %d unknown, %d lost, %d ran twice, %d wrong, %d over limit",
		s.Sent, s.Answered, s.RefusedNotRun, s.OutcomeUnknown, s.Lost, s.RanTwice, s.WrongAnswer, s.OverLimit)
}
