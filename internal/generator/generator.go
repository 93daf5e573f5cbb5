// Package generator sends a bounded, mixed load to entry daemons and checks each
// answer against its request, as a caller would.
//
// Callers repeat a request with the same identity at the next entry daemon when its
// outcome is unknown, and when it was refused as not run for a reason that can pass.
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
	maxAttempts     = 20
	retryDelay      = 100 * time.Millisecond
	requestTimeout  = 8 * time.Second  // of one attempt
	totalTimeout    = 15 * time.Second // of a request with all its attempts
	jobPollInterval = 50 * time.Millisecond
	maxAnswerBytes  = 1 << 20
)

// Stream describes requests of the same kind.
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
	MinDuration time.Duration // shortest and longest run time that is requested of the worker
	MaxDuration time.Duration
	MaxBody     int // bytes
}

// Counts counts requests by what their callers received.
type Counts struct {
	Sent           int64 `json:"sent"`
	Answered       int64 `json:"answered"`
	RefusedNotRun  int64 `json:"refused_not_run"`
	OutcomeUnknown int64 `json:"outcome_unknown"`
	Lost           int64 `json:"lost"`
	WrongAnswer    int64 `json:"wrong_answer"`
	Repeats        int64 `json:"repeats"`
}

// CompletedRequest is a completed request with the outcome that its caller observed.
type CompletedRequest struct {
	Identity string
	Stream   Stream
	Outcome  Outcome
	Detail   string
	Duration time.Duration
}

// Outcome is how a request ended, as far as its caller knows.
type Outcome string

// The outcomes of a request after its last attempt.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "refused_not_run"
	OutcomeUnknown  Outcome = "outcome_unknown"
	OutcomeLost     Outcome = "lost"
	OutcomeWrong    Outcome = "wrong_answer"
)

// Generator sends the requests of a Config and records their outcomes.
type Generator struct {
	cfg    Config
	client *http.Client

	mu        sync.Mutex
	rng       *rand.Rand
	counts    Counts
	completed []CompletedRequest
}

// New returns a Generator. It returns an error if cfg has no addresses or no streams.
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

// CompletedRequests returns the requests that have ended so far.
func (g *Generator) CompletedRequests() []CompletedRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]CompletedRequest(nil), g.completed...)
}

// Run sends all requests and waits until they have ended. Once ctx ends, the remaining
// requests are dropped or fail.
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
		case requests <- g.newRequest():
		case <-ctx.Done():
		}
	}
	close(requests)
	wg.Wait()
}

// request is what all attempts of one request share.
type request struct {
	identity   string
	stream     Stream
	body       []byte
	duration   time.Duration
	firstEntry int // index of the entry daemon of the first attempt
}

// newRequest generates the next request. The seed determines all of it but the identity.
func (g *Generator) newRequest() request {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.Sent++
	r := request{
		identity:   uuid.Must(uuid.NewV7()).String(),
		stream:     g.pick(),
		firstEntry: g.rng.IntN(len(g.cfg.Addresses)),
		duration:   g.cfg.MinDuration,
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

func (g *Generator) record(e CompletedRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.completed = append(g.completed, e)
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
