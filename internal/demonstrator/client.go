package demonstrator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/comfreyford/comfreyford/internal/server"
)

// CallOperatorAPI calls the operator API of an entry daemon with body as JSON and decodes the
// response into answer unless that is nil. A status of 300 or above is an error.
func (in *Installation) CallOperatorAPI(ctx context.Context, e *EntryProcess, method, path string, body, answer any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return Error.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.OperatorAddress+path, strings.NewReader(string(content)))
	if err != nil {
		return Error.Wrap(err)
	}
	req.Header.Set(server.OperatorKeyHeader, operatorKey)
	return in.do(req, answer)
}

// CallAdminAPI calls the admin API of an emulator; body, answer and errors are as for
// CallOperatorAPI.
func (in *Installation) CallAdminAPI(ctx context.Context, p *Process, method, path string, body, answer any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return Error.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.Address+path, strings.NewReader(string(content)))
	if err != nil {
		return Error.Wrap(err)
	}
	return in.do(req, answer)
}

func (in *Installation) get(url string, answer any) error {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	return in.do(req, answer)
}

func (in *Installation) do(req *http.Request, answer any) error {
	resp, err := in.client.Do(req)
	if err != nil {
		return Error.Wrap(err)
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return Error.Wrap(err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return Error.New("%s %s: %s: %s", req.Method, req.URL.Path, resp.Status, strings.TrimSpace(string(content)))
	}
	if answer == nil {
		return nil
	}
	return Error.Wrap(json.Unmarshal(content, answer))
}

// Metrics returns the metrics of an entry daemon in the Prometheus text format.
func (in *Installation) Metrics(e *EntryProcess) (string, error) {
	resp, err := in.client.Get("http://" + e.MetricsAddress + "/metrics")
	if err != nil {
		return "", Error.Wrap(err)
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	return string(content), Error.Wrap(err)
}
