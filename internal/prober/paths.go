package prober

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/comfreyford/comfreyford/internal/demonstrator"
	"github.com/comfreyford/comfreyford/internal/server"
	"github.com/comfreyford/comfreyford/pkg/runner"
)

const (
	pool           = "shop"
	openQueue      = "quotes"
	keyedQueue     = "stock"
	keyedTeam      = "orders"
	requestPath    = "/probe"
	requestTimeout = 10 * time.Second
	idleConns      = 1024
)

// path is one way to send a request to a worker.
type path struct {
	name string
	call call
}

// paths holds the three paths: directly to the workers, through an open queue and through a
// queue that requires a key. close must be called.
type paths struct {
	direct, open, keyed path
	close               func()
}

func newPaths(in *demonstrator.Installation) paths {
	transport := &http.Transport{
		MaxIdleConns:        idleConns,
		MaxIdleConnsPerHost: idleConns,
	}
	client := &http.Client{
		Transport: transport,
		Timeout:   requestTimeout,
	}
	address := in.Entries[0].CallerAddress
	workers := newWorkers(in)
	return paths{
		direct: path{
			name: "direct",
			call: workers.call,
		},
		open: path{
			name: "open",
			call: entryCall(client, address, openQueue, ""),
		},
		keyed: path{
			name: "keyed",
			call: entryCall(client, address, keyedQueue, in.Keys[keyedTeam]),
		},
		close: func() {
			transport.CloseIdleConnections()
			workers.close()
		},
	}
}

// entryCall returns a call that sends a request to a queue as a caller does.
func entryCall(client *http.Client, address, queue, key string) call {
	url := "http://" + address + "/v1/queues/" + queue + requestPath
	return func(ctx context.Context, _ int) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return Error.Wrap(err)
		}
		if key != "" {
			req.Header.Set(server.HeaderKey, key)
		}
		resp, err := client.Do(req)
		if err != nil {
			return Error.Wrap(err)
		}
		defer resp.Body.Close()
		content, err := io.ReadAll(resp.Body)
		if err != nil {
			return Error.Wrap(err)
		}
		if resp.StatusCode != http.StatusOK || resp.Header.Get(server.HeaderOutcome) != "done" {
			return Error.New("%s: %.200s", resp.Status, content)
		}
		return nil
	}
}

// workers calls the workers of the pool in turn, with the client and the sessions
// that an entry daemon uses.
type workers struct {
	names    []string
	clients  []*runner.Client
	sessions *runner.SessionPool
}

func newWorkers(in *demonstrator.Installation) *workers {
	w := &workers{sessions: runner.NewSessionPool(runner.SessionPoolConfig{MayRun: func() bool { return true }})}
	for _, p := range in.Workers {
		if p.Pool == pool {
			w.names = append(w.names, p.VM)
			w.clients = append(w.clients, runner.NewClient(runner.ClientConfig{Address: p.Address}))
		}
	}
	return w
}

func (w *workers) call(ctx context.Context, n int) error {
	client := w.clients[n%len(w.clients)]
	session, err := w.sessions.Acquire(ctx, w.names[n%len(w.names)], client)
	if err != nil {
		return Error.Wrap(err)
	}
	defer session.Release()
	answer, err := client.Start(ctx, runner.Task{
		ID:        uuid.NewString(),
		Session:   session.ID,
		Boot:      session.Boot,
		Pool:      pool,
		Method:    http.MethodGet,
		Path:      requestPath,
		Resources: runner.Resources{Slots: 1},
		Timeout:   requestTimeout,
	}, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return Error.Wrap(err)
}

func (w *workers) close() {
	w.sessions.Close()
	for _, client := range w.clients {
		client.Close()
	}
}
