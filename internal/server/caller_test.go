package server

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/internal/dispatcher"
)

// fakeDispatcher records its requests and returns result.
type fakeDispatcher struct {
	requests []dispatcher.Request
	jobs     []dispatcher.JobRequest
	body     []byte
	readErr  error
	result   dispatcher.Result
}

func (f *fakeDispatcher) Submit(_ context.Context, r dispatcher.Request) dispatcher.Result {
	f.body, f.readErr = io.ReadAll(r.Body)
	f.requests = append(f.requests, r)
	return f.result
}

func (f *fakeDispatcher) Job(_ context.Context, r dispatcher.JobRequest) dispatcher.Result {
	f.jobs = append(f.jobs, r)
	return f.result
}

const testLimitBytes = 64

func startCaller(t *testing.T, f *fakeDispatcher) string {
	t.Helper()
	s := httptest.NewServer(NewCallerHandler(CallerHandlerConfig{
		Dispatcher: f,
		Authenticate: func(key string) (Credential, dispatcher.Reason) {
			switch key {
			case "":
				return Credential{}, ""
			case "good":
				return Credential{
					Team:  "orders",
					KeyID: "orders-1",
				}, ""
			default:
				return Credential{}, dispatcher.ReasonKeyRefused
			}
		},
		MaxRequestBytes: testLimitBytes,
		Logger:          hclog.NewNullLogger(),
	}))
	t.Cleanup(s.Close)
	return s.URL
}

func send(t *testing.T, method, url, body string, header map[string]string) *http.Response {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// Guards against requests that reach the dispatcher with other content than the caller
// sent, and against invalid requests that are refused without an explanation.
func TestSubmitForwardsTheRequest(t *testing.T) {
	cases := []struct {
		name    string
		method  string
		path    string
		body    string
		header  map[string]string
		want    dispatcher.Request
		refusal string // part of the response; empty if the request reaches the dispatcher
	}{
		{
			name:   "open queue",
			method: http.MethodGet,
			path:   "/v1/queues/quotes/price/7?size=2",
			want: dispatcher.Request{
				Queue:  "quotes",
				Method: http.MethodGet,
				Path:   "/price/7?size=2",
			},
		},
		{
			name:   "key and identity",
			method: http.MethodPost,
			path:   "/v1/queues/orders/",
			body:   "one pallet",
			header: map[string]string{
				HeaderKey:            "good",
				HeaderIdempotencyKey: "id",
			},
			want: dispatcher.Request{
				Queue:    "orders",
				Method:   http.MethodPost,
				Path:     "/",
				Identity: "id",
				Team:     "orders",
				KeyID:    "orders-1",
			},
		},
		{
			name:   "refused key is passed on, because open queues need no key",
			method: http.MethodGet,
			path:   "/v1/queues/quotes/x",
			header: map[string]string{HeaderKey: "bad"},
			want: dispatcher.Request{
				Queue:      "quotes",
				Method:     http.MethodGet,
				Path:       "/x",
				KeyRefusal: dispatcher.ReasonKeyRefused,
			},
		},
		{
			name:    "timeout is not a number",
			method:  http.MethodGet,
			path:    "/v1/queues/quotes/x",
			header:  map[string]string{HeaderTimeout: "soon"},
			refusal: `got \"soon\"`,
		},
		{
			name:    "timeout of zero",
			method:  http.MethodGet,
			path:    "/v1/queues/quotes/x",
			header:  map[string]string{HeaderTimeout: "0"},
			refusal: "from 1 to 86400000",
		},
		{
			name:    "body larger than the limit",
			method:  http.MethodPost,
			path:    "/v1/queues/orders/x",
			body:    strings.Repeat("x", testLimitBytes+1),
			refusal: "body_too_large",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeDispatcher{result: dispatcher.Result{
				Outcome: dispatcher.OutcomeDone,
				Status:  http.StatusOK,
				Body:    io.NopCloser(strings.NewReader("answer")),
			}}
			resp := send(t, c.method, startCaller(t, f)+c.path, c.body, c.header)
			content, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Fatal(err)
			}
			if c.refusal != "" {
				if len(f.requests) != 0 || resp.Header.Get(HeaderOutcome) != "not_run" || !strings.Contains(string(content), c.refusal) {
					t.Fatalf("got %d requests, %s, %s", len(f.requests), resp.Status, content)
				}
				return
			}
			if len(f.requests) != 1 || string(content) != "answer" || string(f.body) != c.body {
				t.Fatalf("got %d requests, answer %q, body %q", len(f.requests), content, f.body)
			}
			got := f.requests[0]
			got.Body = nil
			if got != c.want {
				t.Fatalf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// Guards against a body of unknown length that is read beyond the limit.
func TestChunkedBodyIsBounded(t *testing.T) {
	f := &fakeDispatcher{result: dispatcher.NotRun(dispatcher.ReasonBodyTooLarge, "")}
	url := startCaller(t, f) + "/v1/queues/orders/x"
	req, err := http.NewRequest(http.MethodPost, url, io.MultiReader(bytes.NewReader(make([]byte, 2*testLimitBytes))))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var tooLarge *http.MaxBytesError
	if !errors.As(f.readErr, &tooLarge) || len(f.body) > testLimitBytes {
		t.Fatalf("read %d bytes, error %v", len(f.body), f.readErr)
	}
}

// brokenBody returns io.ErrUnexpectedEOF in place of io.EOF.
type brokenBody struct {
	rest io.Reader
}

func (b *brokenBody) Read(p []byte) (int, error) {
	n, err := b.rest.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (*brokenBody) Close() error { return nil }

// Guards against a truncated response that looks complete to the caller.
func TestTruncatedAnswerBreaksTheConnection(t *testing.T) {
	for _, size := range []int{0, 10, 3 * copyBufferBytes} {
		f := &fakeDispatcher{result: dispatcher.Result{
			Outcome: dispatcher.OutcomeDone,
			Status:  http.StatusOK,
			Body:    &brokenBody{rest: bytes.NewReader(make([]byte, size))},
		}}
		resp, err := http.Get(startCaller(t, f) + "/v1/queues/quotes/x")
		if err != nil {
			continue
		}
		if _, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("%d bytes: the truncated response was read without an error", size)
		}
		_ = resp.Body.Close()
	}
}

// Guards against refusals without the fields by which callers decide whether to retry.
func TestRefusalHasOutcomeReasonAndRetryAfter(t *testing.T) {
	f := &fakeDispatcher{result: dispatcher.NotRun(dispatcher.ReasonQueueFull, "256 wait")}
	resp := send(t, http.MethodGet, startCaller(t, f)+"/v1/queues/quotes/x", "", nil)
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	want := `{"outcome":"not_run","reason":"queue_full","detail":"256 wait"}` + "\n"
	if string(content) != want || resp.StatusCode != http.StatusTooManyRequests || resp.Header.Get("Retry-After") != "1" {
		t.Fatalf("got %s, %v, %s", resp.Status, resp.Header, content)
	}
}

// Guards against a job that is shown to or cancelled by another team.
func TestJobRequestsCarryTheTeamOfTheKey(t *testing.T) {
	cases := []struct {
		name   string
		method string
		path   string
		key    string
		want   []dispatcher.JobRequest
	}{
		{
			name:   "state",
			method: http.MethodGet,
			path:   "/v1/jobs/j",
			key:    "good",
			want: []dispatcher.JobRequest{
				{
					Action:   dispatcher.JobState,
					Identity: "j",
					Team:     "orders",
				},
			},
		},
		{
			name:   "result",
			method: http.MethodGet,
			path:   "/v1/jobs/j/result",
			want: []dispatcher.JobRequest{
				{
					Action:   dispatcher.JobResult,
					Identity: "j",
				},
			},
		},
		{
			name:   "cancel",
			method: http.MethodDelete,
			path:   "/v1/jobs/j",
			key:    "good",
			want: []dispatcher.JobRequest{
				{
					Action:   dispatcher.JobCancel,
					Identity: "j",
					Team:     "orders",
				},
			},
		},
		{
			name:   "refused key",
			method: http.MethodDelete,
			path:   "/v1/jobs/j",
			key:    "bad",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeDispatcher{result: dispatcher.NotRun(dispatcher.ReasonUnknownJob, "")}
			send(t, c.method, startCaller(t, f)+c.path, "", map[string]string{HeaderKey: c.key})
			if len(f.jobs) != len(c.want) || len(c.want) > 0 && f.jobs[0] != c.want[0] {
				t.Fatalf("got %+v, want %+v", f.jobs, c.want)
			}
		})
	}
}

// Guards against a caller that holds a request open indefinitely by sending its body slowly.
func TestSlowSenderHasADeadline(t *testing.T) {
	set := make(chan time.Time, 1)
	w := &deadlineRecorder{
		ResponseRecorder: httptest.NewRecorder(),
		set:              set,
	}
	f := &fakeDispatcher{result: dispatcher.NotRun(dispatcher.ReasonBadRequest, "")}
	c := &callerHandler{cfg: CallerHandlerConfig{
		Dispatcher:      f,
		Authenticate:    func(string) (Credential, dispatcher.Reason) { return Credential{}, "" },
		MaxRequestBytes: testLimitBytes,
		Logger:          hclog.NewNullLogger(),
	}}
	before := time.Now()
	c.submit(w, httptest.NewRequest(http.MethodPost, "/v1/queues/q/x", strings.NewReader("x")))
	if at := <-set; at.Before(before.Add(bodyReadTimeout)) || at.After(time.Now().Add(bodyReadTimeout)) {
		t.Fatalf("the read deadline is %v", at.Sub(before))
	}
}

type deadlineRecorder struct {
	*httptest.ResponseRecorder
	set chan time.Time
}

func (d *deadlineRecorder) SetReadDeadline(at time.Time) error {
	d.set <- at
	return nil
}
