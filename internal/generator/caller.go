package generator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyford/comfreyford/internal/dispatcher"
	"github.com/comfreyford/comfreyford/internal/emulator"
	"github.com/comfreyford/comfreyford/internal/server"
	"github.com/comfreyford/comfreyford/internal/sleeper"
	"github.com/comfreyford/comfreyford/pkg/journaler"
)

// try is the end of one try.
type try struct {
	outcome dispatcher.Outcome // empty: no whole answer came
	status  int
	reason  dispatcher.Reason
	body    []byte
	err     error
}

// send sends a request until its caller knows how it ended.
func (g *Generator) send(ctx context.Context, r request) Ended {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, totalTimeout)
	defer cancel()
	ended := Ended{
		Identity: r.identity,
		Stream:   r.stream,
	}
	ended.Outcome, ended.Detail = g.untilKnown(ctx, r)
	ended.Duration = time.Since(start)
	return ended
}

func (g *Generator) untilKnown(ctx context.Context, r request) (Outcome, string) {
	uncertain := false
	var last try
	for n := range maxTries {
		if n > 0 {
			g.mu.Lock()
			g.counts.Repeats++
			g.mu.Unlock()
			if !sleeper.Sleep(ctx, retryDelay) {
				break
			}
		}
		last = g.once(ctx, r, r.first+n)
		switch {
		case last.outcome == dispatcher.OutcomeDone && r.stream.Deferrable:
			return g.untilFinished(ctx, r, r.first+n)
		case last.outcome == dispatcher.OutcomeDone:
			return check(r, last)
		case last.outcome == dispatcher.OutcomeNotRun && final(last.reason):
			return notRun(uncertain, last)
		case last.outcome != dispatcher.OutcomeNotRun:
			uncertain = true
		}
	}
	return notRun(uncertain, last)
}

// final tells whether a repeat with the same identity can't change a refusal.
func final(reason dispatcher.Reason) bool {
	switch reason {
	case dispatcher.ReasonConfigStale, dispatcher.ReasonQueueFull, dispatcher.ReasonLimitReached,
		dispatcher.ReasonNoTarget, dispatcher.ReasonDraining, dispatcher.ReasonJournalUnavailable,
		dispatcher.ReasonJournalFull, dispatcher.ReasonJournalMoved, dispatcher.ReasonPeerUnreachable,
		dispatcher.ReasonDeadline:
		return false
	default:
		return true
	}
}

func notRun(uncertain bool, last try) (Outcome, string) {
	detail := fmt.Sprintf("%d %s %v", last.status, last.reason, last.err)
	uncertain = uncertain && last.reason != dispatcher.ReasonCallerLost
	if uncertain || last.outcome != dispatcher.OutcomeNotRun {
		return OutcomeUnknown, detail
	}
	return OutcomeNotRun, detail
}

// once makes one try at one entry daemon.
func (g *Generator) once(ctx context.Context, r request, n int) try {
	url := fmt.Sprintf("http://%s/v1/queues/%s/work?duration_ms=%d",
		g.address(n), r.stream.Queue, r.duration.Milliseconds())
	return g.do(ctx, r, r.stream.Method, url, r.body)
}

func (g *Generator) address(n int) string {
	return g.cfg.Addresses[n%len(g.cfg.Addresses)]
}

func (g *Generator) do(ctx context.Context, r request, method, url string, body []byte) try {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return try{err: err}
	}
	req.Header.Set(server.HeaderIdentity, r.identity)
	if r.stream.Key != "" {
		req.Header.Set(server.HeaderKey, r.stream.Key)
	}
	if !r.stream.Deferrable {
		req.Header.Set(server.HeaderTimeout, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return try{err: err}
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return try{err: err}
	}
	result := try{
		outcome: dispatcher.Outcome(resp.Header.Get(server.HeaderOutcome)),
		status:  resp.StatusCode,
		body:    content,
	}
	var refusal struct {
		Reason dispatcher.Reason `json:"reason"`
	}
	if result.outcome != dispatcher.OutcomeDone && json.Unmarshal(content, &refusal) == nil {
		result.reason = refusal.Reason
	}
	return result
}

// untilFinished fetches the result of an accepted job. A job that was accepted and
// has no result in the end is lost.
func (g *Generator) untilFinished(ctx context.Context, r request, n int) (Outcome, string) {
	var last try
	for ; ctx.Err() == nil; n++ {
		last = g.do(ctx, r, http.MethodGet, "http://"+g.address(n)+"/v1/jobs/"+r.identity, nil)
		var job dispatcher.JobDescription
		if last.outcome == dispatcher.OutcomeDone && json.Unmarshal(last.body, &job) == nil && job.State.Final() {
			if job.State != journaler.StateDone {
				return OutcomeLost, string(job.State) + " " + string(job.Verdict)
			}
			last = g.do(ctx, r, http.MethodGet, "http://"+g.address(n)+"/v1/jobs/"+r.identity+"/result", nil)
			if last.outcome == dispatcher.OutcomeDone {
				return check(r, last)
			}
		}
		if !sleeper.Sleep(ctx, jobPoll) {
			break
		}
	}
	return OutcomeLost, fmt.Sprintf("accepted and not finished in time: %d %s %v %s", last.status, last.reason, last.err, last.body)
}

// check compares an answer with its request.
func check(r request, t try) (Outcome, string) {
	echo, err := emulator.ParseEcho(bytes.NewReader(t.body))
	if err != nil {
		return OutcomeWrong, err.Error()
	}
	want := emulator.Echo{
		Identity: r.identity,
		Xxhash:   fmt.Sprintf("%016x", xxhash.Sum64(r.body)),
		Length:   int64(len(r.body)),
	}
	if echo != want {
		return OutcomeWrong, fmt.Sprintf("got %+v, want %+v", echo, want)
	}
	return OutcomeAnswered, ""
}
