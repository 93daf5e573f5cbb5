package commander

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/server"
)

const (
	settingsUsage = "read and change the settings tree through the operator API"

	// A request takes up to 4 s to be stored and 4 s to be in force.
	settingsRequestTimeout = 10 * time.Second
	settingsDialTimeout    = 3 * time.Second
	settingsTries          = 3
	settingsRetryDelay     = 200 * time.Millisecond
	maxAnswerBytes         = 64 << 20
)

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: settingsUsage,
		Flags: operatorFlags(),
		Commands: []*cli.Command{
			settingsGetCommand(),
			settingsListCommand(),
			settingsPutCommand(),
			settingsApplyCommand(),
			settingsWatchCommand(),
			settingsHistoryCommand(),
			settingsIssueKeyCommand(),
			settingsWithdrawKeyCommand(),
		},
	}
}

// operatorFlags are the flags of all commands that use the operator API.
func operatorFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name:    "address",
			Usage:   "URL of the operator API of any entry daemon",
			Sources: cli.EnvVars("COMFREYFORD_OPERATOR_ADDRESS"),
		},
		&cli.StringFlag{
			Name:    "key-file",
			Usage:   "file with the operator key",
			Sources: cli.EnvVars("COMFREYFORD_OPERATOR_KEY_FILE"),
		},
		&cli.StringFlag{
			Name:    "ca-file",
			Usage:   "PEM certificates that are trusted besides those of the system, for https",
			Sources: cli.EnvVars("COMFREYFORD_CA_FILE"),
		},
	}
}

// changeFlags are the flags of all commands that change the tree.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name:    "author",
			Usage:   "name in the history",
			Value:   "operator",
			Sources: cli.EnvVars("USER"),
		},
		&cli.StringFlag{
			Name:  "change-id",
			Usage: "id of an earlier try whose outcome is unknown; the change is stored once",
		},
	}
}

// changeID returns the id of the flag or a new one.
func changeID(cmd *cli.Command) (string, error) {
	if id := cmd.String("change-id"); id != "" {
		return id, nil
	}
	id, err := uuid.NewV7()
	return id.String(), err
}

var operatorKeyPattern = regexp.MustCompile(`^[!-~]{1,256}$`)

// operatorClient speaks to the operator API.
type operatorClient struct {
	base   string
	prefix string // of all paths
	key    string
	client *http.Client
}

func newOperatorClient(cmd *cli.Command) (*operatorClient, error) {
	address := cmd.String("address")
	u, err := url.Parse(address)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, fmt.Errorf("--address: got %q; want a URL such as \"http://127.0.0.1:8081\"", address)
	}
	if cmd.String("key-file") == "" {
		return nil, errors.New("--key-file: missing; want the file with the operator key")
	}
	key, err := os.ReadFile(cmd.String("key-file"))
	if err != nil {
		return nil, fmt.Errorf("--key-file: %w", err)
	}
	if !operatorKeyPattern.Match(bytes.TrimSpace(key)) {
		return nil, fmt.Errorf("--key-file: %s holds no key; want one line of 1 to 256 printable characters", cmd.String("key-file"))
	}
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: settingsDialTimeout}).DialContext,
	}
	if path := cmd.String("ca-file"); path != "" {
		pool, err := certificates(path)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool}
	}
	return &operatorClient{
		base:   strings.TrimSuffix(address, "/") + "/v1/",
		prefix: "settings/",
		key:    strings.TrimSpace(string(key)),
		client: &http.Client{
			Transport: transport,
			// A redirect would carry the operator key to another host.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}, nil
}

func certificates(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("--ca-file: %w", err)
	}
	pool, err := x509.SystemCertPool()
	if err != nil {
		pool = x509.NewCertPool()
	}
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("--ca-file: %s holds no certificate; want PEM", path)
	}
	return pool, nil
}

// refusal is an answer of the operator API other than success.
type refusal struct {
	status int
	answer server.ErrorAnswer
}

// Error implements error.
func (r *refusal) Error() string {
	if r.answer.Reason == "" {
		return fmt.Sprintf("answer with status %d", r.status)
	}
	return r.answer.Reason + ": " + r.answer.Detail
}

// unknownOutcome means that a change may or may not be stored.
type unknownOutcome struct {
	id  string
	err error
}

// Error implements error.
func (u *unknownOutcome) Error() string {
	return fmt.Sprintf("the change may or may not be stored, ask again with --change-id %s: %v", u.id, u.err)
}

// Unwrap returns the error of the last try.
func (u *unknownOutcome) Unwrap() error { return u.err }

// unreachable means that no connection was made, so that nothing was sent.
type unreachable struct {
	address string
	err     error
}

// Error implements error.
func (u *unreachable) Error() string {
	return fmt.Sprintf("the operator API at %s cannot be reached: %v", u.address, u.err)
}

// Unwrap returns the error of the connection.
func (u *unreachable) Unwrap() error { return u.err }

// fleet returns the client for the fleet and the status, which are no part of the settings.
func (c *operatorClient) fleet() *operatorClient {
	other := *c
	other.prefix = ""
	return &other
}

// get sends a read request.
func (c *operatorClient) get(ctx context.Context, path string, query url.Values, v any) error {
	ctx, cancel := context.WithTimeout(ctx, settingsRequestTimeout+server.MaxWatchWait)
	defer cancel()
	return c.send(ctx, http.MethodGet, path+"?"+query.Encode(), nil, v)
}

// change sends a change, and again while its outcome is unknown: the change id
// makes repeats harmless.
func (c *operatorClient) change(ctx context.Context, method, path, id string, body any) (server.ChangeAnswer, error) {
	var a server.ChangeAnswer
	err := c.repeat(ctx, method, path, id, body, &a)
	return a, err
}

// repeat sends a body until the outcome is known and decodes the answer into v.
func (c *operatorClient) repeat(ctx context.Context, method, path, id string, body, v any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	unknown := false
	for i := range settingsTries {
		if i > 0 {
			select {
			case <-time.After(settingsRetryDelay):
			case <-ctx.Done():
			}
		}
		err = c.try(ctx, method, path, text, v)
		if err == nil {
			return nil
		}
		var refused *refusal
		var unsent *unreachable
		switch {
		case errors.As(err, &unsent):
		case !errors.As(err, &refused) || refused.answer.Reason == "outcome_unknown" || refused.answer.Reason == "":
			unknown = true
		case refused.status != http.StatusServiceUnavailable:
			return err
		}
	}
	if unknown {
		return &unknownOutcome{
			id:  id,
			err: err,
		}
	}
	return err
}

func (c *operatorClient) try(ctx context.Context, method, path string, text []byte, v any) error {
	ctx, cancel := context.WithTimeout(ctx, settingsRequestTimeout)
	defer cancel()
	return c.send(ctx, method, path, text, v)
}

func (c *operatorClient) send(ctx context.Context, method, path string, body []byte, v any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+c.prefix+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set(server.OperatorKeyHeader, c.key)
	res, err := c.client.Do(req)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return &unreachable{
			address: c.base,
			err:     dial.Err,
		}
	}
	if err != nil {
		return err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	if res.StatusCode == http.StatusOK || res.StatusCode == http.StatusAccepted {
		return json.Unmarshal(text, v)
	}
	refused := &refusal{status: res.StatusCode}
	// Without a JSON body, the status alone is reported.
	_ = json.Unmarshal(text, &refused.answer)
	return refused
}

// report prints the outcome of a change. A change that is not in force everywhere
// is an error, so that scripts do not go on too early.
func report(cmd *cli.Command, a server.ChangeAnswer) error {
	if a.State == server.ChangeStored {
		return fmt.Errorf("revision %d is stored but not in force; missing members: %s", a.Revision, strings.Join(a.Missing, ", "))
	}
	_, err := fmt.Fprintf(cmd.Root().Writer, "revision %d %s, change %s\n", a.Revision, a.State, a.ChangeID)
	return err
}

// printHistory prints one line a change.
func printHistory(w io.Writer, h server.History) error {
	for _, e := range h.Changes {
		if _, err := fmt.Fprintf(w, "%d %s %s %s\n", e.Revision, e.ID, e.Author, strings.Join(e.Paths, ",")); err != nil {
			return err
		}
	}
	return nil
}
