// Package generator sends a bounded, mixed load to entry daemons and checks each
// answer against its request, as a caller would.
//
// Callers repeat a request with the same identity at another entry daemon when its
// outcome is unknown, and when it was refused as not run.
package generator

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("generator")

const (
	maxTries       = 20
	retryDelay     = 100 * time.Millisecond
	requestTimeout = 8 * time.Second  // of one try
	totalTimeout   = 15 * time.Second // of a request with all its tries
	jobPoll        = 50 * time.Millisecond
	maxAnswerBytes = 1 << 20
)

// Stream is one kind of requests.
type Stream struct {
	Queue      string
	Team       string // for the report only
	Key        string // value of Comfreyford-Key; empty on open queues
	Method     string
	Deferrable bool
	Weight     int // share of the requests, relative to other streams
}

// Config configures a Generator.
type Config struct {
	Addresses   []string // callers' listeners of entry daemons
	Streams     []Stream
	Requests    int
	Concurrency int
	Seed        uint64
	MinDuration time.Duration // shortest and longest time that the application is asked to take
	MaxDuration time.Duration
	MaxBody     int // bytes
}

// Counts are what callers received.
type Counts struct {
	Sent           int64 `json:"sent"`
	Answered       int64 `json:"answered"`
	RefusedNotRun  int64 `json:"refused_not_run"`
	OutcomeUnknown int64 `json:"outcome_unknown"`
	Lost           int64 `json:"lost"`
	WrongAnswer    int64 `json:"wrong_answer"`
	Repeats        int64 `json:"repeats"`
}

// Ended is the end of one request as its caller saw it.
type Ended struct {
	Identity string
	Stream   Stream
	Outcome  Outcome
	Detail   string
	Duration time.Duration
}

// Outcome is what a caller knows in the end.
type Outcome string

// The outcomes of a request with all its tries.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "refused_not_run"
	OutcomeUnknown  Outcome = "outcome_unknown"
	OutcomeLost     Outcome = "lost"
	OutcomeWrong    Outcome = "wrong_answer"
)

// Generator sends requests.
type Generator struct {
	cfg    Config
	client *http.Client

	mu     sync.Mutex
	rng    *rand.Rand
	counts Counts
	ended  []Ended
}

// New returns a generator.
func New(cfg Config) (*Generator, error) {
	if len(cfg.Addresses) == 0 || len(cfg.Streams) == 0 {
		return nil, Error.New("want at least one address and one stream")
	}
	return &Generator{
		cfg: cfg,
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: cfg.Concurrency,
				IdleConnTimeout:     time.Minute,
			},
		},
		rng: rand.New(rand.NewPCG(cfg.Seed, 0)),
	}, nil
}

// Counts returns the counts so far.
func (g *Generator) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

// Ended returns the ends of all requests so far.
func (g *Generator) Ended() []Ended {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Ended(nil), g.ended...)
}

// Run sends all requests and waits for their ends.
func (g *Generator) Run(ctx context.Context) {
	defer g.client.CloseIdleConnections()
	requests := make(chan request)
	var wg sync.WaitGroup
	for range g.cfg.Concurrency {
		wg.Go(func() {
			for r := range requests {
				g.record(g.send(ctx, r))
			}
		})
	}
	for range g.cfg.Requests {
		select {
		case requests <- g.draw():
		case <-ctx.Done():
		}
	}
	close(requests)
	wg.Wait()
}

// request is one request with everything that its tries share.
type request struct {
	identity string
	stream   Stream
	body     []byte
	duration time.Duration
	first    int // entry daemon of the first try
}

// draw makes the next request from the seed.
func (g *Generator) draw() request {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.Sent++
	r := request{
		identity: uuid.Must(uuid.NewV7()).String(),
		stream:   g.pick(),
		first:    g.rng.IntN(len(g.cfg.Addresses)),
		duration: g.cfg.MinDuration,
	}
	if spread := g.cfg.MaxDuration - g.cfg.MinDuration; spread > 0 {
		r.duration += time.Duration(g.rng.Int64N(int64(spread)))
	}
	if g.cfg.MaxBody > 0 {
		r.body = make([]byte, g.rng.IntN(g.cfg.MaxBody))
		for i := range r.body {
			r.body[i] = byte(g.rng.Uint32())
		}
	}
	return r
}

func (g *Generator) pick() Stream {
	total := 0
	for _, s := range g.cfg.Streams {
		total += s.Weight
	}
	n := g.rng.IntN(max(1, total))
	for _, s := range g.cfg.Streams {
		if n < s.Weight {
			return s
		}
		n -= s.Weight
	}
	return g.cfg.Streams[0]
}

func (g *Generator) record(e Ended) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = append(g.ended, e)
	switch e.Outcome {
	case OutcomeAnswered:
		g.counts.Answered++
	case OutcomeNotRun:
		g.counts.RefusedNotRun++
	case OutcomeUnknown:
		g.counts.OutcomeUnknown++
	case OutcomeLost:
		g.counts.Lost++
	case OutcomeWrong:
		g.counts.WrongAnswer++
	}
}
