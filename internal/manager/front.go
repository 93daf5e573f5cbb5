package manager

import (
	"context"
	"errors"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Verdict is the answer to a caller.
type Verdict string

// The verdicts. NotRun and Unavailable promise that this attempt stored nothing;
// after Unknown the caller has to repeat the request with the same identity.
const (
	VerdictOK           Verdict = "ok"
	VerdictNoQueue      Verdict = "no_queue"
	VerdictNoJob        Verdict = "no_job"
	VerdictUnauthorized Verdict = "unauthorized"
	VerdictInvalid      Verdict = "invalid"
	VerdictNotRun       Verdict = "not_run"
	VerdictUnavailable  Verdict = "unavailable"
	VerdictUnknown      Verdict = "outcome_unknown"
)

// Result is a Verdict with its details.
type Result struct {
	Verdict    Verdict
	Reason     string
	State      jobkeeper.State
	Pending    int
	RetryAfter time.Duration // when to come back; zero if there is nothing to say
}

// Call is a request of a caller.
type Call struct {
	Host     string
	Path     string // begins with the prefix of the route; the identity follows
	Key      string
	Deadline time.Time
	// Job is set for submissions, without identity, queue, team and pool.
	Job *jobkeeper.Job
}

const (
	// commitAttempts bounds the writes for one submission: a lost answer and two
	// conflicts with other writers.
	commitAttempts = 4
	// outageRetry is when callers are told to come back while the store is away.
	outageRetry = time.Second
)

// Front answers callers.
type Front struct {
	cfg       Config
	settings  *settings
	operators *follower
	queues    *queueBoard
	refuser   *refuser
}

func newFront(cfg Config, settings *settings, operators *follower, queues *queueBoard) *Front {
	return &Front{
		cfg:       cfg,
		settings:  settings,
		operators: operators,
		queues:    queues,
		refuser: &refuser{
			cfg:    cfg,
			queues: queues,
		},
	}
}

// MaxBodyBytes returns the largest body of a request; zero before the first configuration.
func (f *Front) MaxBodyBytes() int64 {
	if c := f.settings.current(); c != nil {
		return c.MaxBodyBytes
	}
	return 0
}

// admission is what is known of a call once its route and key were checked.
type admission struct {
	conf  *held
	route Route
	team  string
	id    string
}

// admit finds the queue of a call and checks its key. A result other than ok ends the call.
func (f *Front) admit(call Call) (admission, Result) {
	conf := f.settings.current()
	if conf == nil {
		return admission{}, unavailable("no configuration yet")
	}
	stale := f.operators.age() > f.cfg.Bounds.staleAfter()
	if stale && call.Job == nil {
		// Only a submission has the configuration confirmed by the store.
		return admission{}, unavailable("configuration out of date")
	}
	route, found := conf.Route(call.Host, call.Path)
	if !found {
		return admission{}, f.negative(VerdictNoQueue, "no such queue", stale)
	}
	a := admission{
		conf:  conf,
		route: route,
		id:    call.Path[len(route.Prefix):],
	}
	if !route.Open {
		team, ok := conf.Team(call.Key)
		if !ok {
			return admission{}, f.negative(VerdictUnauthorized, "unknown key", stale)
		}
		a.team = team
	}
	if a.id != "" {
		if err := jobkeeper.ValidateID(a.id); err != nil {
			return admission{}, Result{
				Verdict: VerdictInvalid,
				Reason:  err.Error(),
			}
		}
	}
	return a, Result{
		Verdict: VerdictOK,
	}
}

// negative refuses a call, but not because of knowledge that may be out of date.
func (f *Front) negative(verdict Verdict, reason string, stale bool) Result {
	if stale {
		return unavailable("configuration out of date")
	}
	return Result{
		Verdict: verdict,
		Reason:  reason,
	}
}

// Submit accepts a job if it is stored, or was stored before.
func (f *Front) Submit(ctx context.Context, call Call) Result {
	return f.measure("submit", func() Result { return f.submit(ctx, call) })
}

// measure records the time and the verdict of a call.
func (f *Front) measure(name string, answer func() Result) Result {
	began := time.Now()
	result := answer()
	if f.cfg.Recorder != nil {
		f.cfg.Recorder.JobRequest(name, string(result.Verdict), time.Since(began))
	}
	return result
}

func (f *Front) submit(ctx context.Context, call Call) Result {
	var refusal storer.Version // revision of an earlier refusal of the identity
	unknown := false
	for range commitAttempts {
		a, result := f.admit(call)
		if result.Verdict != VerdictOK {
			return settleUnknown(result, unknown)
		}
		if a.id == "" {
			return Result{
				Verdict: VerdictInvalid,
				Reason:  "identity missing",
			}
		}
		job := f.document(call, a)
		if err := job.Validate(); err != nil {
			return Result{
				Verdict: VerdictInvalid,
				Reason:  err.Error(),
			}
		}
		retryAfter, hopeless := f.refuser.hopeless(a, job)
		err := f.settle(ctx, call, a, job, refusal, hopeless)
		var conflict *storer.ConflictError
		switch {
		case err == nil && hopeless:
			return Result{
				Verdict:    VerdictNotRun,
				Reason:     "the queue is too long for this job",
				RetryAfter: retryAfter,
			}
		case err == nil:
			f.cfg.Logger.Info("job accepted", "job", a.id, "queue", a.route.Queue, "team", a.team, "config_version", a.conf.Version, "steps", len(job.Steps))
			return Result{
				Verdict: VerdictOK,
				State:   jobkeeper.StateQueued,
			}
		case errors.As(err, &conflict):
			f.settings.refresh(conflict.Find(f.cfg.Directory.ConfigurationKey()))
			done, version := f.resolve(a, conflict)
			if done {
				return Result{
					Verdict: VerdictOK,
					State:   jobkeeper.StateQueued,
				}
			}
			refusal = version
		case errors.Is(err, storer.ErrOutcomeUnknown):
			unknown = unknown || !hopeless
		case errors.Is(err, storer.ErrLeaseNotFound):
		default:
			f.cfg.Logger.Warn("job not stored", "job", a.id, "queue", a.route.Queue, "error", err)
			return settleUnknown(unavailable("store unavailable"), unknown)
		}
		if !call.Deadline.IsZero() && time.Until(call.Deadline) < storeTimeout/2 {
			break
		}
	}
	return settleUnknown(unavailable("store busy"), unknown)
}

// settle stores the job or its refusal.
func (f *Front) settle(ctx context.Context, call Call, a admission, job *jobkeeper.Job, refusal storer.Version, hopeless bool) error {
	ctx, cancel := f.limit(ctx, call)
	defer cancel()
	if hopeless {
		return f.refuser.refuse(ctx, a, refusal)
	}
	transaction, err := f.acceptance(a, job, refusal)
	if err != nil {
		return err
	}
	_, err = f.cfg.Store.Commit(ctx, transaction)
	return err
}

// settleUnknown keeps a refusal from denying an earlier write of the same request
// whose outcome is unknown.
func settleUnknown(r Result, unknown bool) Result {
	if !unknown {
		return r
	}
	return Result{
		Verdict: VerdictUnknown,
		Reason:  "store did not answer",
	}
}

func (f *Front) document(call Call, a admission) *jobkeeper.Job {
	job := *call.Job
	job.ID = a.id
	job.Queue = a.route.Queue
	job.Team = a.team
	job.Pool = a.conf.Engine.Queues[a.route.Queue].Pool
	job.AcceptedMS = f.cfg.Wall()
	return &job
}

// acceptance stores a job if neither it nor a newer configuration is stored.
func (f *Front) acceptance(a admission, job *jobkeeper.Job, refusal storer.Version) (storer.Transaction, error) {
	data, err := jobkeeper.EncodeJob(job)
	if err != nil {
		return storer.Transaction{}, err
	}
	return storer.Transaction{
		Conditions: []storer.Condition{
			{
				Key:     f.cfg.Directory.ConfigurationKey(),
				Version: a.conf.revision,
			},
			{
				Key: jobkeeper.DocumentKey(a.id),
			},
			{
				Key:     jobkeeper.ProgressKey(a.id),
				Version: refusal,
			},
		},
		Puts: []storer.Put{{
			Key:   jobkeeper.DocumentKey(a.id),
			Value: data,
		}},
	}, nil
}

// limit bounds a call to the store by the time that its caller waits.
func (f *Front) limit(ctx context.Context, call Call) (context.Context, context.CancelFunc) {
	timeout := storeTimeout
	if !call.Deadline.IsZero() {
		timeout = min(timeout, max(minCallTime, time.Until(call.Deadline)))
	}
	return context.WithTimeout(ctx, timeout)
}

// minCallTime is the least time that a call to the store gets.
const minCallTime = 50 * time.Millisecond

// resolve reports whether a conflict shows that the job is stored already. If it
// shows an earlier refusal, it returns the refusal's revision.
func (f *Front) resolve(a admission, conflict *storer.ConflictError) (bool, storer.Version) {
	if conflict.Find(jobkeeper.DocumentKey(a.id)).Version != 0 {
		f.cfg.Logger.Info("job known", "job", a.id, "queue", a.route.Queue)
		return true, 0
	}
	item := conflict.Find(jobkeeper.ProgressKey(a.id))
	if item.Version == 0 {
		return false, 0
	}
	progress, err := jobkeeper.DecodeProgress(item.Value)
	if err != nil {
		f.cfg.Logger.Error("record of a job not readable", "job", a.id, "error", err)
		return true, 0
	}
	if progress.State == jobkeeper.StateRefused {
		return false, item.Version
	}
	return true, 0
}

// State returns the state of a job.
func (f *Front) State(ctx context.Context, call Call) Result {
	return f.measure("state", func() Result { return f.state(ctx, call) })
}

func (f *Front) state(ctx context.Context, call Call) Result {
	a, result := f.admit(call)
	if result.Verdict != VerdictOK {
		return result
	}
	if a.id == "" {
		state, age := f.queues.state(a.route.Queue)
		f.cfg.Logger.Debug("queue state", "queue", a.route.Queue, "pending", state.Waiting, "age_ms", age.Milliseconds())
		return Result{
			Verdict: VerdictOK,
			Pending: state.Waiting,
		}
	}
	record, err := f.record(ctx, call, a)
	if err != nil {
		f.cfg.Logger.Warn("state of a job not read", "job", a.id, "error", err)
		return unavailable("store unavailable")
	}
	return record.result()
}

// record is what the store holds of a job.
type record struct {
	state    jobkeeper.State // empty if there is no such job
	document storer.Item
}

func (r record) result() Result {
	if r.state == "" {
		return Result{
			Verdict: VerdictNoJob,
			Reason:  "no such job",
		}
	}
	return Result{
		Verdict: VerdictOK,
		State:   r.state,
	}
}

// record reads the state of a job. Its progress is read first: a document without
// progress belongs to a job that is queued. Between the two reads the job can end,
// so a job with neither is looked at once more.
func (f *Front) record(ctx context.Context, call Call, a admission) (record, error) {
	timeout := storeTimeout
	if !call.Deadline.IsZero() {
		timeout = min(2*storeTimeout, max(minCallTime, time.Until(call.Deadline)))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for range 2 {
		item, err := f.cfg.Store.Read(ctx, jobkeeper.ProgressKey(a.id))
		if err != nil {
			return record{}, err
		}
		if item.Version != 0 {
			progress, err := jobkeeper.DecodeProgress(item.Value)
			if err != nil {
				return record{}, err
			}
			if progress.State != jobkeeper.StateRefused && (progress.Queue != a.route.Queue || progress.Team != a.team) {
				return record{}, nil
			}
			if progress.State != jobkeeper.StateRefused {
				return record{
					state: progress.State,
				}, nil
			}
		}
		document, err := f.cfg.Store.Read(ctx, jobkeeper.DocumentKey(a.id))
		if err != nil {
			return record{}, err
		}
		if document.Version != 0 {
			return f.queued(a, document)
		}
	}
	return record{}, nil
}

func (f *Front) queued(a admission, document storer.Item) (record, error) {
	job, err := jobkeeper.DecodeJob(document.Value)
	if err != nil {
		return record{}, err
	}
	if job.Queue != a.route.Queue || job.Team != a.team {
		return record{}, nil
	}
	return record{
		state:    jobkeeper.StateQueued,
		document: document,
	}, nil
}

// Cancel ends a job. The answer is ok once the request is stored, or the job has ended.
func (f *Front) Cancel(ctx context.Context, call Call) Result {
	return f.measure("cancel", func() Result { return f.cancel(ctx, call) })
}

func (f *Front) cancel(ctx context.Context, call Call) Result {
	for range commitAttempts {
		a, result := f.admit(call)
		if result.Verdict != VerdictOK {
			return result
		}
		record, err := f.record(ctx, call, a)
		if err != nil {
			f.cfg.Logger.Warn("job not cancelled", "job", a.id, "error", err)
			return unavailable("store unavailable")
		}
		if record.state == "" || record.state.Ended() {
			return record.result()
		}
		err = f.commitCancel(ctx, call, a, record)
		switch {
		case err == nil:
			f.cfg.Logger.Info("cancellation stored", "job", a.id, "queue", a.route.Queue, "state", record.state)
			return Result{
				Verdict: VerdictOK,
				State:   jobkeeper.StateCancelled,
			}
		case errors.Is(err, storer.ErrConflict), errors.Is(err, storer.ErrOutcomeUnknown):
			continue
		default:
			f.cfg.Logger.Warn("job not cancelled", "job", a.id, "error", err)
			return unavailable("store unavailable")
		}
	}
	return settleUnknown(Result{}, true)
}

func (f *Front) commitCancel(ctx context.Context, call Call, a admission, r record) error {
	if r.document.Version == 0 {
		item, err := f.cfg.Store.Read(ctx, jobkeeper.DocumentKey(a.id))
		if err != nil {
			return err
		}
		if item.Version == 0 {
			return storer.ErrConflict // the job ended meanwhile
		}
		r.document = item
	}
	ctx, cancel := f.limit(ctx, call)
	defer cancel()
	_, err := f.cfg.Store.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{
			Key:     jobkeeper.DocumentKey(a.id),
			Version: r.document.Version,
		}},
		Puts: []storer.Put{{
			Key:   jobkeeper.CancelKey(a.id),
			Value: []byte(f.cfg.Name),
		}},
	})
	return err
}

func unavailable(reason string) Result {
	return Result{
		Verdict:    VerdictUnavailable,
		Reason:     reason,
		RetryAfter: outageRetry,
	}
}
