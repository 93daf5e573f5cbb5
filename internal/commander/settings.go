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

	// Storing a change takes up to 4 s, and waiting until it is in force up to 4 s more.
	settingsRequestTimeout = 10 * time.Second
	settingsDialTimeout    = 3 * time.Second
	settingsMaxAttempts    = 3
	settingsRetryDelay     = 200 * time.Millisecond
	maxResponseBytes       = 64 << 20
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

// operatorFlags returns the flags of all commands that use the operator API.
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
			Usage:   "file with PEM certificates of CAs to trust for https in addition to those of the system",
			Sources: cli.EnvVars("COMFREYFORD_CA_FILE"),
		},
	}
}

// changeFlags returns the flags of all commands that change the settings tree.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name:    "author",
			Usage:   "author that the history records",
			Value:   "operator",
			Sources: cli.EnvVars("USER"),
		},
		&cli.StringFlag{
			Name:  "change-id",
			Usage: "id of an earlier attempt whose outcome is unknown; a repeated change is stored once",
		},
	}
}

// changeID returns the value of --change-id, or a new id if it is not set.
func changeID(cmd *cli.Command) (string, error) {
	if id := cmd.String("change-id"); id != "" {
		return id, nil
	}
	id, err := uuid.NewV7()
	return id.String(), err
}

var operatorKeyPattern = regexp.MustCompile(`^[!-~]{1,256}$`)

// operatorClient sends requests to the operator API.
type operatorClient struct {
	base   string
	prefix string // precedes the path of each request
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
		pool, err := loadCertPool(path)
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
			// Following a redirect could send the operator key to another host.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}, nil
}

func loadCertPool(path string) (*x509.CertPool, error) {
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

// refusalError is a response of the operator API with a status other than 200 and 202.
type refusalError struct {
	status int
	answer server.ErrorAnswer
}

// Error implements error.
func (r *refusalError) Error() string {
	if r.answer.Reason == "" {
		return fmt.Sprintf("the operator API responded with status %d and no reason", r.status)
	}
	return r.answer.Reason + ": " + r.answer.Detail
}

// unknownOutcomeError means that a change may or may not have been stored.
type unknownOutcomeError struct {
	id  string
	err error
}

// Error implements error.
func (u *unknownOutcomeError) Error() string {
	return fmt.Sprintf("the change may or may not have been stored; repeat the command with --change-id %s: %v", u.id, u.err)
}

// Unwrap returns the error of the last attempt.
func (u *unknownOutcomeError) Unwrap() error { return u.err }

// unreachableError means that no connection could be opened, so that nothing was sent.
type unreachableError struct {
	address string
	err     error
}

// Error implements error.
func (u *unreachableError) Error() string {
	return fmt.Sprintf("the operator API at %s cannot be reached: %v", u.address, u.err)
}

// Unwrap returns the error of the connection.
func (u *unreachableError) Unwrap() error { return u.err }

// withoutPrefix returns a client for the paths of the fleet and the status, which are not
// below "settings/".
func (c *operatorClient) withoutPrefix() *operatorClient {
	copied := *c
	copied.prefix = ""
	return &copied
}

// get sends a GET request and decodes the response into v. Its timeout allows for the longest
// watch.
func (c *operatorClient) get(ctx context.Context, path string, query url.Values, v any) error {
	ctx, cancel := context.WithTimeout(ctx, settingsRequestTimeout+server.MaxWatchWait)
	defer cancel()
	return c.send(ctx, http.MethodGet, path+"?"+query.Encode(), nil, v)
}

// change sends a change of the settings. It may send it several times, which is safe because
// a change id takes effect only once.
func (c *operatorClient) change(ctx context.Context, method, path, id string, body any) (server.ChangeAnswer, error) {
	var a server.ChangeAnswer
	err := c.sendWithRetries(ctx, method, path, id, body, &a)
	return a, err
}

// sendWithRetries sends a body and decodes the response into v. If the service is unavailable
// or the outcome is unknown, it tries again, settingsMaxAttempts times in all.
func (c *operatorClient) sendWithRetries(ctx context.Context, method, path, id string, body, v any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	outcomeUnknown := false
	for i := range settingsMaxAttempts {
		if i > 0 {
			select {
			case <-time.After(settingsRetryDelay):
			case <-ctx.Done():
			}
		}
		err = c.sendWithTimeout(ctx, method, path, text, v)
		if err == nil {
			return nil
		}
		var refused *refusalError
		var unsent *unreachableError
		switch {
		case errors.As(err, &unsent):
		case !errors.As(err, &refused) || refused.answer.Reason == "outcome_unknown" || refused.answer.Reason == "":
			outcomeUnknown = true
		case refused.status != http.StatusServiceUnavailable:
			return err
		}
	}
	if outcomeUnknown {
		return &unknownOutcomeError{
			id:  id,
			err: err,
		}
	}
	return err
}

func (c *operatorClient) sendWithTimeout(ctx context.Context, method, path string, text []byte, v any) error {
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
		return &unreachableError{
			address: c.base,
			err:     dial.Err,
		}
	}
	if err != nil {
		return err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if res.StatusCode == http.StatusOK || res.StatusCode == http.StatusAccepted {
		return json.Unmarshal(text, v)
	}
	refused := &refusalError{status: res.StatusCode}
	// If the body is not JSON, only the status is reported.
	_ = json.Unmarshal(text, &refused.answer)
	return refused
}

// printChange prints the outcome of a change. If the change is not in force on all members
// yet, it returns an error, so that scripts do not continue too early.
func printChange(cmd *cli.Command, a server.ChangeAnswer) error {
	if a.State == server.ChangeStored {
		return fmt.Errorf("revision %d is stored but not in force; missing members: %s", a.Revision, strings.Join(a.Missing, ", "))
	}
	_, err := fmt.Fprintf(cmd.Root().Writer, "revision %d %s, change %s\n", a.Revision, a.State, a.ChangeID)
	return err
}

// printHistory prints one line per change: revision, change id, author and paths.
func printHistory(w io.Writer, h server.History) error {
	for _, e := range h.Changes {
		if _, err := fmt.Fprintf(w, "%d %s %s %s\n", e.Revision, e.ID, e.Author, strings.Join(e.Paths, ",")); err != nil {
			return err
		}
	}
	return nil
}
