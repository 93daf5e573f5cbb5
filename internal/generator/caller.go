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

// attempt is the result of one attempt.
type attempt struct {
	outcome dispatcher.Outcome // empty if no complete answer arrived
	status  int
	reason  dispatcher.Reason
	body    []byte
	err     error
}

// send repeats a request until its outcome is known or totalTimeout has passed.
func (g *Generator) send(ctx context.Context, r request) CompletedRequest {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, totalTimeout)
	defer cancel()
	completed := CompletedRequest{
		Identity: r.identity,
		Stream:   r.stream,
	}
	completed.Outcome, completed.Detail = g.sendUntilKnown(ctx, r)
	completed.Duration = time.Since(start)
	return completed
}

func (g *Generator) sendUntilKnown(ctx context.Context, r request) (Outcome, string) {
	uncertain := false
	var last attempt
	for n := range maxAttempts {
		if n > 0 {
			g.mu.Lock()
			g.counts.Repeats++
			g.mu.Unlock()
			if !sleeper.Sleep(ctx, retryDelay) {
				break
			}
		}
		last = g.sendOnce(ctx, r, r.firstEntry+n)
		switch {
		case last.outcome == dispatcher.OutcomeDone && r.stream.Deferrable:
			return g.awaitResult(ctx, r, r.firstEntry+n)
		case last.outcome == dispatcher.OutcomeDone:
			return check(r, last)
		case last.outcome == dispatcher.OutcomeNotRun && isFinal(last.reason):
			return unansweredOutcome(uncertain, last)
		case last.outcome != dispatcher.OutcomeNotRun:
			uncertain = true
		}
	}
	return unansweredOutcome(uncertain, last)
}

// isFinal reports whether a repeat with the same identity would be refused again.
func isFinal(reason dispatcher.Reason) bool {
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

// unansweredOutcome returns the outcome after the last attempt. It is unknown if any attempt
// may have run, unless the last refusal is caller_lost, which holds for all attempts.
func unansweredOutcome(uncertain bool, last attempt) (Outcome, string) {
	detail := fmt.Sprintf("%d %s %v", last.status, last.reason, last.err)
	uncertain = uncertain && last.reason != dispatcher.ReasonCallerLost
	if uncertain || last.outcome != dispatcher.OutcomeNotRun {
		return OutcomeUnknown, detail
	}
	return OutcomeNotRun, detail
}

// sendOnce makes one attempt, at the n-th entry daemon.
func (g *Generator) sendOnce(ctx context.Context, r request, n int) attempt {
	url := fmt.Sprintf("http://%s/v1/queues/%s/work?duration_ms=%d",
		g.address(n), r.stream.Queue, r.duration.Milliseconds())
	return g.do(ctx, r, r.stream.Method, url, r.body)
}

func (g *Generator) address(n int) string {
	return g.cfg.Addresses[n%len(g.cfg.Addresses)]
}

func (g *Generator) do(ctx context.Context, r request, method, url string, body []byte) attempt {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return attempt{err: err}
	}
	req.Header.Set(server.HeaderIdempotencyKey, r.identity)
	if r.stream.Key != "" {
		req.Header.Set(server.HeaderKey, r.stream.Key)
	}
	if !r.stream.Deferrable {
		req.Header.Set(server.HeaderTimeout, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return attempt{err: err}
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return attempt{err: err}
	}
	result := attempt{
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

// awaitResult polls an accepted job and fetches its result. A job that fails or does not
// end in time is lost.
func (g *Generator) awaitResult(ctx context.Context, r request, n int) (Outcome, string) {
	var last attempt
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
		if !sleeper.Sleep(ctx, jobPollInterval) {
			break
		}
	}
	return OutcomeLost, fmt.Sprintf("the job was accepted but did not finish in time: %d %s %v %s", last.status, last.reason, last.err, last.body)
}

// check compares the echo in an answer with the request.
func check(r request, t attempt) (Outcome, string) {
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
