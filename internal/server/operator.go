package server

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/pkg/authenticator"
	"github.com/comfreyford/comfreyford/pkg/configurer"
)

const (
	// OperatorKeyHeader is the request header that carries the operator key.
	OperatorKeyHeader = "Comfreyford-Operator-Key"
	// InForceTimeout limits how long a request waits for its stored change to be in force.
	InForceTimeout = 4 * time.Second
	// MaxWatchWait is the longest wait that a watch request may ask for.
	MaxWatchWait = 60 * time.Second

	inForcePollInterval = 50 * time.Millisecond
	refreshTimeout      = time.Second
	maxWatches          = 256
	maxKeyAttempts      = 16
)

// ChangeState says whether an accepted change is already in force.
type ChangeState string

// The states of an accepted change.
const (
	ChangeStored  ChangeState = "stored"   // in the key-value service; some members may use an older revision
	ChangeInForce ChangeState = "in_force" // no member uses an older revision, and its limits are in force
)

// Members reports which members may still use an older configuration.
type Members interface {
	// Unconfirmed returns what keeps the revision from being in force: the members that have
	// not confirmed it and whose permission to use an older one has not expired, and the
	// limits that are not in force yet.
	Unconfirmed(revision uint64) []string
}

// OperatorAPIConfig configures an OperatorAPI.
type OperatorAPIConfig struct {
	Committer      *configurer.Committer
	Members        Members
	KeySHA256      [sha256.Size]byte
	BodyLimitBytes int64
	Region         string       // region of the fleet document
	Status         StatusSource // nil: the status lacks this entry daemon's own figures
	Logger         hclog.Logger // nil: nothing is logged
}

// OperatorAPI serves the operator API.
type OperatorAPI struct {
	cfg     OperatorAPIConfig
	mux     *http.ServeMux
	watches atomic.Int64
}

// Listing is the answer to a list request.
type Listing struct {
	Revision  uint64                `json:"revision"`
	AgeMS     int64                 `json:"age_ms"` // time since the settings were known to be current; -1: never
	Documents []configurer.Document `json:"documents"`
}

// History is the answer to a history or watch request.
type History struct {
	Revision uint64                    `json:"revision"`
	Changes  []configurer.HistoryEntry `json:"changes"` // newest first
}

// PutRequest replaces, creates or removes one document.
type PutRequest struct {
	ChangeID string `json:"change_id"`
	Author   string `json:"author"`
	Expected string `json:"expected"`
	Text     string `json:"text"`
	Remove   bool   `json:"remove"`
}

// KeyRequest issues or withdraws a key. It carries only the hash of the key.
type KeyRequest struct {
	ChangeID string `json:"change_id"`
	Author   string `json:"author"`
	KeyID    string `json:"key_id"`
	Team     string `json:"team,omitempty"`   // issue only
	SHA256   string `json:"sha256,omitempty"` // issue only
}

// ChangeAnswer is the answer to an accepted change.
type ChangeAnswer struct {
	ChangeID string      `json:"change_id"`
	Revision uint64      `json:"revision"`
	State    ChangeState `json:"state"`
	Missing  []string    `json:"missing,omitempty"` // members that may still use an older revision, and limits not in force yet
}

// ErrorAnswer is the answer to a refused or failed request.
type ErrorAnswer struct {
	Reason    string                `json:"reason"`
	Detail    string                `json:"detail"`
	Problems  []configurer.Problem  `json:"problems,omitempty"`
	Conflicts []configurer.Mismatch `json:"conflicts,omitempty"`
}

// NewOperatorAPI returns an OperatorAPI that serves the settings, the fleet and the status.
func NewOperatorAPI(cfg OperatorAPIConfig) *OperatorAPI {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	o := &OperatorAPI{
		cfg: cfg,
		mux: http.NewServeMux(),
	}
	o.mux.HandleFunc("GET /v1/settings/documents", o.list)
	o.mux.HandleFunc("GET /v1/settings/documents/{path...}", o.get)
	o.mux.HandleFunc("PUT /v1/settings/documents/{path...}", o.put)
	o.mux.HandleFunc("POST /v1/settings/changes", o.apply)
	o.mux.HandleFunc("GET /v1/settings/watch", o.watch)
	o.mux.HandleFunc("GET /v1/settings/history", o.history)
	o.mux.HandleFunc("POST /v1/settings/keys/issue", o.issueKey)
	o.mux.HandleFunc("POST /v1/settings/keys/withdraw", o.withdrawKey)
	o.routeFleet()
	return o
}

// ServeHTTP implements http.Handler. Requests without the operator key get status 401.
func (o *OperatorAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !authenticator.NewSecret(r.Header.Get(OperatorKeyHeader)).Matches(o.cfg.KeySHA256) {
		writeError(w, http.StatusUnauthorized, "unauthorized", "want the operator key in "+OperatorKeyHeader)
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, o.cfg.BodyLimitBytes)
	o.mux.ServeHTTP(w, r)
}

// refresh updates the view from the key-value service. If that fails, the error is only
// logged: the response comes from the present view, and a listing states its age.
func (o *OperatorAPI) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := o.cfg.Committer.View.Refresh(ctx, o.cfg.Committer.Store); err != nil && !errors.Is(err, configurer.ErrOlderRevision) {
		o.cfg.Logger.Warn("settings not refreshed from the key-value service, using the current view", "error", err)
	}
}

func (o *OperatorAPI) list(w http.ResponseWriter, r *http.Request) {
	o.refresh(r.Context())
	prefix := r.URL.Query().Get("prefix")
	revision, docs := o.cfg.Committer.View.Documents()
	docs = slices.DeleteFunc(docs, func(d configurer.Document) bool { return !strings.HasPrefix(d.Path, prefix) })
	age := int64(-1)
	if d, ok := o.cfg.Committer.View.Current().Age(time.Now()); ok {
		age = d.Milliseconds()
	}
	writeJSON(w, http.StatusOK, Listing{
		Revision:  revision,
		AgeMS:     age,
		Documents: docs,
	})
}

func (o *OperatorAPI) get(w http.ResponseWriter, r *http.Request) {
	path := r.PathValue("path")
	if version := r.URL.Query().Get("version"); version != "" {
		text, err := o.cfg.Committer.DocumentText(r.Context(), path, version)
		if err != nil {
			o.writeSettingsError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, configurer.Document{
			Path:    path,
			Version: version,
			Text:    text,
		})
		return
	}
	o.refresh(r.Context())
	doc, err := o.cfg.Committer.View.Document(path)
	if err != nil {
		o.writeSettingsError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, doc)
}

func (o *OperatorAPI) put(w http.ResponseWriter, r *http.Request) {
	var req PutRequest
	if !decode(w, r, &req) {
		return
	}
	o.commit(w, r, configurer.Change{
		ID:     req.ChangeID,
		Author: req.Author,
		Edits: []configurer.Edit{{
			Path:     r.PathValue("path"),
			Expected: req.Expected,
			Text:     req.Text,
			Remove:   req.Remove,
		}},
	})
}

func (o *OperatorAPI) apply(w http.ResponseWriter, r *http.Request) {
	var change configurer.Change
	if !decode(w, r, &change) {
		return
	}
	o.commit(w, r, change)
}

func (o *OperatorAPI) commit(w http.ResponseWriter, r *http.Request, change configurer.Change) {
	revision, err := o.cfg.Committer.Commit(r.Context(), change)
	if err != nil {
		o.writeSettingsError(w, err)
		return
	}
	o.respondWhenInForce(w, r, change.ID, revision)
}

// respondWhenInForce waits for the revision to be in force, at most InForceTimeout, and then
// responds.
func (o *OperatorAPI) respondWhenInForce(w http.ResponseWriter, r *http.Request, id string, revision uint64) {
	o.cfg.Logger.Info("change stored", "id", id, "revision", revision)
	a := ChangeAnswer{
		ChangeID: id,
		Revision: revision,
		State:    ChangeInForce,
		Missing:  o.awaitInForce(r.Context(), revision),
	}
	if len(a.Missing) > 0 {
		a.State = ChangeStored
		writeJSON(w, http.StatusAccepted, a)
		return
	}
	writeJSON(w, http.StatusOK, a)
}

// awaitInForce waits until no member is missing or InForceTimeout has passed. It returns
// the members that are still missing.
func (o *OperatorAPI) awaitInForce(ctx context.Context, revision uint64) []string {
	deadline := time.After(InForceTimeout)
	for {
		unconfirmed := o.cfg.Members.Unconfirmed(revision)
		if len(unconfirmed) == 0 {
			return nil
		}
		select {
		case <-time.After(inForcePollInterval):
		case <-deadline:
			return unconfirmed
		case <-ctx.Done():
			return unconfirmed
		}
	}
}

// watch responds when the revision exceeds the one in the request, or after the requested
// wait.
func (o *OperatorAPI) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	revision, err := strconv.ParseUint(query.Get("revision"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", fmt.Sprintf("revision: got %q; want an integer from 0", query.Get("revision")))
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil || wait < 0 || wait > MaxWatchWait {
		writeError(w, http.StatusBadRequest, "bad_request", fmt.Sprintf("wait: got %q; want a duration from 0s to %v", query.Get("wait"), MaxWatchWait))
		return
	}
	if o.watches.Add(1) > maxWatches {
		o.watches.Add(-1)
		writeError(w, http.StatusServiceUnavailable, "too_many_watches", fmt.Sprintf("%d watches are waiting", maxWatches))
		return
	}
	defer o.watches.Add(-1)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	// The only error is the end of ctx; the response then has the unchanged revision.
	state, _ := o.cfg.Committer.View.Await(ctx, revision)
	changes := o.cfg.Committer.View.History("")
	changes = slices.DeleteFunc(changes, func(e configurer.HistoryEntry) bool {
		return e.Revision <= revision || e.Revision > state.Tree.Revision
	})
	writeJSON(w, http.StatusOK, History{
		Revision: state.Tree.Revision,
		Changes:  changes,
	})
}

func (o *OperatorAPI) history(w http.ResponseWriter, r *http.Request) {
	o.refresh(r.Context())
	writeJSON(w, http.StatusOK, History{
		Revision: o.cfg.Committer.View.Current().Tree.Revision,
		Changes:  o.cfg.Committer.View.History(r.URL.Query().Get("path")),
	})
}

// errApplied means that the requested change of a key is already part of the settings tree.
var errApplied = errors.New("already applied")

func (o *OperatorAPI) issueKey(w http.ResponseWriter, r *http.Request) {
	var req KeyRequest
	if !decode(w, r, &req) {
		return
	}
	o.changeKey(w, r, req, func(*configurer.Tree) string { return req.Team }, func(t *configurer.Team) error {
		key := configurer.Key{
			ID:     req.KeyID,
			SHA256: req.SHA256,
		}
		if slices.Contains(t.Keys, key) {
			return errApplied
		}
		t.Keys = append(slices.Clone(t.Keys), key)
		return nil
	})
}

func (o *OperatorAPI) withdrawKey(w http.ResponseWriter, r *http.Request) {
	var req KeyRequest
	if !decode(w, r, &req) {
		return
	}
	hasID := func(k configurer.Key) bool { return k.ID == req.KeyID }
	owner := func(tree *configurer.Tree) string {
		for name, team := range tree.Teams {
			if slices.ContainsFunc(team.Keys, hasID) {
				return name
			}
		}
		return ""
	}
	o.changeKey(w, r, req, owner, func(t *configurer.Team) error {
		i := slices.IndexFunc(t.Keys, hasID)
		if i < 0 {
			return configurer.ErrNotFound
		}
		if t.Keys[i].Withdrawn {
			return errApplied
		}
		t.Keys = slices.Clone(t.Keys)
		t.Keys[i].Withdrawn = true
		return nil
	})
}

// changeKey edits the document of one team. It retries if another change to the document
// was stored in the meantime.
func (o *OperatorAPI) changeKey(w http.ResponseWriter, r *http.Request, req KeyRequest, owner func(*configurer.Tree) string, edit func(*configurer.Team) error) {
	ctx, cancel := context.WithTimeout(r.Context(), configurer.CommitTimeout)
	defer cancel()
	var revision uint64
	var err error
	for i := range maxKeyAttempts {
		// Attempts may write different texts, and a change id can't be reused for another text.
		id := fmt.Sprintf("%s-%d", req.ChangeID, i)
		revision, err = o.tryChangeKey(ctx, id, req.Author, owner, edit)
		if !errors.Is(err, configurer.ErrConflict) && !errors.Is(err, configurer.ErrChangeIDReused) {
			break
		}
	}
	if err != nil {
		o.writeSettingsError(w, err)
		return
	}
	o.respondWhenInForce(w, r, req.ChangeID, revision)
}

func (o *OperatorAPI) tryChangeKey(ctx context.Context, id, author string, owner func(*configurer.Tree) string, edit func(*configurer.Team) error) (uint64, error) {
	view := o.cfg.Committer.View
	if err := view.Refresh(ctx, o.cfg.Committer.Store); err != nil && !errors.Is(err, configurer.ErrOlderRevision) {
		return 0, fmt.Errorf("%w: %w", configurer.ErrNotStored, err)
	}
	tree := view.Current().Tree
	path := configurer.KindTeams + "/" + owner(tree)
	doc, err := view.Document(path)
	if err != nil {
		return 0, err
	}
	// Writing back a document of a newer release would drop the settings that this release
	// does not know, so such a document is refused.
	if err := configurer.CheckDocument(path, doc.Text); err != nil {
		return 0, err
	}
	var team configurer.Team
	// The team comes from doc and not from tree, as the edit has to apply to the version that
	// Expected names below.
	if _, err := toml.Decode(doc.Text, &team); err != nil {
		return 0, err
	}
	if err := edit(&team); errors.Is(err, errApplied) {
		return doc.Revision, nil
	} else if err != nil {
		return 0, err
	}
	text, err := toml.Marshal(team)
	if err != nil {
		return 0, err
	}
	return o.cfg.Committer.Commit(ctx, configurer.Change{
		ID:     id,
		Author: author,
		Edits: []configurer.Edit{{
			Path:     path,
			Expected: doc.Version,
			Text:     string(text),
		}},
	})
}

// writeSettingsError sends the error response for an error of the settings.
func (o *OperatorAPI) writeSettingsError(w http.ResponseWriter, err error) {
	a := ErrorAnswer{Detail: err.Error()}
	status := http.StatusInternalServerError
	a.Reason = "internal"
	for _, known := range []struct {
		err    error
		status int
		reason string
	}{
		{configurer.ErrInvalid, http.StatusUnprocessableEntity, "invalid"},
		{configurer.ErrConflict, http.StatusConflict, "conflict"},
		{configurer.ErrChangeIDReused, http.StatusConflict, "change_id_reused"},
		{configurer.ErrNotFound, http.StatusNotFound, "not_found"},
		{configurer.ErrOutcomeUnknown, http.StatusGatewayTimeout, "outcome_unknown"},
		{configurer.ErrNotStored, http.StatusServiceUnavailable, "not_stored"},
	} {
		if errors.Is(err, known.err) {
			status, a.Reason = known.status, known.reason
			break
		}
	}
	var invalid *configurer.ValidationError
	if errors.As(err, &invalid) {
		a.Problems = invalid.Problems
	}
	var conflict *configurer.ConflictError
	if errors.As(err, &conflict) {
		a.Conflicts = conflict.Mismatches
	}
	if status >= http.StatusInternalServerError {
		o.cfg.Logger.Error("request failed", "reason", a.Reason, "error", err)
	}
	writeJSON(w, status, a)
}

// decode reads a body of exactly one JSON value without unknown fields into v. For any
// other body it sends an error response and returns false.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		if _, err = d.Token(); errors.Is(err, io.EOF) {
			return true
		}
		if err == nil {
			err = errors.New("more than one JSON value")
		}
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		writeError(w, http.StatusRequestEntityTooLarge, "body_too_large", fmt.Sprintf("want at most %d bytes", large.Limit))
		return false
	}
	writeError(w, http.StatusBadRequest, "bad_request", err.Error())
	return false
}

func writeError(w http.ResponseWriter, status int, reason, detail string) {
	writeJSON(w, status, ErrorAnswer{
		Reason: reason,
		Detail: detail,
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
