package manager

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreyford/comfreyford/pkg/jobkeeper"
	"github.com/comfreyford/comfreyford/pkg/partitioner"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Verdict is the kind of answer to a caller.
type Verdict string

// The verdicts. VerdictNotRun and VerdictUnavailable promise that this attempt accepted
// nothing; after VerdictUnknown the caller has to repeat the request with the same job ID.
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
	Verdict     Verdict
	Reason      string
	State       jobkeeper.State
	WaitingJobs int
	RetryAfter  time.Duration // when to repeat the request; zero if nothing can be said
	// Revision is that of the configuration of a neighbor that answered.
	Revision storer.Version
}

// Call is a request of a caller.
type Call struct {
	Host     string
	Path     string // begins with the prefix of the route; the job ID follows
	Key      string
	Deadline time.Time
	// Job is set for submissions, without ID, queue, team and pool.
	Job *jobkeeper.Job
	// Forwarded is set if another daemon has handed the call on; it is not handed on again.
	Forwarded bool
	// Revision is that of the configuration of the daemon that handed the call on.
	Revision storer.Version
}

const (
	// maxCommitAttempts bounds the writes for one call: enough for a lost answer and two
	// conflicts with other writers.
	maxCommitAttempts = 4
	// outageRetryAfter is when callers are told to repeat a request while the store is
	// unavailable.
	outageRetryAfter = time.Second
)

// Front handles the requests of callers.
type Front struct {
	cfg           Config
	settings      *settings
	operatorWatch *prefixWatcher
	view          *fleetView
	admission     *admissionControl
	capacity      *capacityControl
	neighbors     *neighborhood // nil if calls are not handed on
}

func newFront(cfg Config, settings *settings, operatorWatch *prefixWatcher, view *fleetView, neighbors *neighborhood) *Front {
	return &Front{
		cfg:           cfg,
		settings:      settings,
		operatorWatch: operatorWatch,
		view:          view,
		neighbors:     neighbors,
		capacity:      newCapacityControl(cfg, view),
		admission: &admissionControl{
			cfg:  cfg,
			view: view,
		},
	}
}

// MaxBodyBytes returns the size of the largest request body that is accepted; zero before the
// first configuration.
func (f *Front) MaxBodyBytes() int64 {
	if c := f.settings.current(); c != nil {
		return c.MaxBodyBytes
	}
	return 0
}

// authorizedCall is what is known of a call after its route and key were checked.
type authorizedCall struct {
	conf  *storedConfiguration
	route Route
	team  string
	id    string
}

// origin returns the route of the call as a job records it.
func (a *authorizedCall) origin() jobkeeper.Route {
	return jobkeeper.Route{
		Host:   a.route.Host,
		Prefix: a.route.Prefix,
	}
}

// mayAccess reports whether the call may read and cancel the job of a record: it came through the
// same queue or the same route, which may have another queue now, and for the same team. The team
// makes no difference if the route is open now or was open when the job was accepted.
func (a *authorizedCall) mayAccess(progress *jobkeeper.Progress) bool {
	reached := progress.Queue == a.route.Queue || progress.Route == a.origin()
	return reached && (a.route.Open || progress.Team == "" || progress.Team == a.team)
}

// authorize finds the queue of a call, and checks its key and job ID. If the verdict is not
// ok, the result is the answer to the call.
func (f *Front) authorize(call Call) (authorizedCall, Result) {
	conf := f.settings.current()
	if conf == nil {
		return authorizedCall{}, unavailable("no configuration yet")
	}
	stale := f.operatorWatch.age() > f.cfg.Bounds.staleAfter()
	if stale && call.Job == nil {
		// Only a submission lets the store verify that the configuration is current.
		return authorizedCall{}, unavailable("configuration out of date")
	}
	route, found := conf.Route(call.Host, call.Path)
	if !found {
		return authorizedCall{}, f.reject(VerdictNoQueue, "no such queue", stale)
	}
	a := authorizedCall{
		conf:  conf,
		route: route,
		id:    call.Path[len(route.Prefix):],
	}
	if !route.Open {
		team, ok := conf.Team(call.Key)
		if !ok {
			return authorizedCall{}, f.reject(VerdictUnauthorized, "unknown key", stale)
		}
		a.team = team
	}
	if a.id != "" {
		if err := jobkeeper.ValidateID(a.id); err != nil {
			return authorizedCall{}, Result{
				Verdict: VerdictInvalid,
				Reason:  err.Error(),
			}
		}
	}
	return a, Result{
		Verdict: VerdictOK,
	}
}

// reject returns the verdict, or VerdictUnavailable if the configuration is too old to justify
// it.
func (f *Front) reject(verdict Verdict, reason string, stale bool) Result {
	if stale {
		return unavailable("configuration out of date")
	}
	return Result{
		Verdict: verdict,
		Reason:  reason,
	}
}

// Submit accepts a job. The verdict is ok if the job is stored now or was stored before.
func (f *Front) Submit(ctx context.Context, call Call) Result {
	return f.measure("submit", func() Result { return f.serve(ctx, CallSubmit, call, f.submit) })
}

// measure records the duration and the verdict of a call.
func (f *Front) measure(name string, answer func() Result) Result {
	began := time.Now()
	result := answer()
	if f.cfg.Recorder != nil {
		f.cfg.Recorder.JobRequest(name, string(result.Verdict), time.Since(began))
	}
	return result
}

func (f *Front) submit(ctx context.Context, call Call) Result {
	var refusal storer.Version // version of an earlier refusal of the job
	unanswered := false
	for range maxCommitAttempts {
		a, result := f.authorize(call)
		if result.Verdict != VerdictOK {
			return unknownIfUnanswered(result, unanswered)
		}
		if a.id == "" {
			return Result{
				Verdict: VerdictInvalid,
				Reason:  "identity missing",
			}
		}
		job := f.newJob(call, a)
		if err := job.Validate(); err != nil {
			return Result{
				Verdict: VerdictInvalid,
				Reason:  err.Error(),
			}
		}
		cell, ok := f.chooseCell(a, job)
		if !ok {
			return unknownIfUnanswered(unavailable("fleet not divided yet"), unanswered)
		}
		answer, refused := f.refuse(a, job, cell)
		err := f.storeDecision(ctx, call, a, job, cell, refusal, refused)
		var conflict *storer.ConflictError
		switch {
		case err == nil && refused:
			return answer
		case err == nil:
			f.capacity.add(cell, job)
			f.cfg.Logger.Info("job accepted", "job", a.id, "queue", a.route.Queue, "team", a.team, "cell", cell, "config_version", a.conf.Version, "steps", len(job.Steps))
			return Result{
				Verdict: VerdictOK,
				State:   jobkeeper.StateQueued,
			}
		case errors.As(err, &conflict):
			f.settings.refresh(conflict.Find(f.cfg.Schema.ConfigurationKey()))
			settled, version := f.resolveConflict(a, conflict)
			if settled.Verdict != "" {
				return settled
			}
			refusal = version
		case errors.Is(err, storer.ErrOutcomeUnknown):
			if !refused {
				unanswered = true
				f.capacity.add(cell, job) // it may be stored
			}
			if f.mayHandOn(call) {
				return unknownIfUnanswered(unavailable("store did not answer"), unanswered)
			}
		case errors.Is(err, storer.ErrLeaseNotFound):
		default:
			f.cfg.Logger.Warn("storing the job or its refusal failed", "job", a.id, "queue", a.route.Queue, "error", err)
			return unknownIfUnanswered(unavailable("store unavailable"), unanswered)
		}
		if !call.Deadline.IsZero() && time.Until(call.Deadline) < storeTimeout/2 {
			break
		}
	}
	return unknownIfUnanswered(unavailable("store busy"), unanswered)
}

// storeDecision stores the job, or its refusal.
func (f *Front) storeDecision(ctx context.Context, call Call, a authorizedCall, job *jobkeeper.Job, cell string, refusal storer.Version, refused bool) error {
	ctx, cancel := f.withStoreTimeout(ctx, call)
	defer cancel()
	if refused {
		return f.admission.mark(ctx, a, jobkeeper.StateRefused, refusal)
	}
	transaction, err := f.acceptanceTransaction(a, job, cell, refusal)
	if err != nil {
		return err
	}
	_, err = f.cfg.Store.Commit(ctx, transaction)
	return err
}

// unknownIfUnanswered returns r, or VerdictUnknown if an earlier write of the same request got
// no answer: r must not deny what that write may have stored.
func unknownIfUnanswered(r Result, unanswered bool) Result {
	if !unanswered {
		return r
	}
	return Result{
		Verdict: VerdictUnknown,
		Reason:  "store did not answer",
	}
}

func (f *Front) newJob(call Call, a authorizedCall) *jobkeeper.Job {
	job := *call.Job
	job.ID = a.id
	job.Queue = a.route.Queue
	job.Team = a.team
	job.Route = a.origin()
	queue := a.conf.Engine.Queues[a.route.Queue]
	job.Pool = queue.Pool
	job.Terms = queue.Terms()
	job.AcceptedMS = f.cfg.UnixMS()
	return &job
}

// chooseCell picks the cell that runs a job; ok is false while the layout is unknown.
func (f *Front) chooseCell(a authorizedCall, job *jobkeeper.Job) (cell string, ok bool) {
	layout, _ := f.view.currentLayout()
	if layout == nil {
		return "", false
	}
	if layout.Single() {
		return layout.Cells()[0], true
	}
	homes := layout.Homes(a.team, a.conf.Engine.Teams[a.team].Limit)
	homes = layout.OpenCells(homes, f.settings.evacuatedZones())
	candidates := f.view.candidates(homes, job.Pool, jobRack(job))
	withRoom := slices.DeleteFunc(slices.Clone(candidates), func(c partitioner.Candidate) bool { return f.capacity.full(c.Cell, job) })
	if len(withRoom) > 0 {
		candidates = withRoom
	}
	i := partitioner.Choose(candidates, [2]float64{rand.Float64(), rand.Float64()})
	if i < 0 {
		return "", false
	}
	return candidates[i].Cell, true
}

// acceptanceTransaction returns the write that stores a job and its first progress record. It
// fails if the configuration has changed, or if a record other than the known refusal exists.
func (f *Front) acceptanceTransaction(a authorizedCall, job *jobkeeper.Job, cell string, refusal storer.Version) (storer.Transaction, error) {
	document, err := jobkeeper.EncodeJob(job)
	if err != nil {
		return storer.Transaction{}, err
	}
	progress, err := jobkeeper.EncodeProgress(&jobkeeper.Progress{
		State: jobkeeper.StateQueued,
		Queue: a.route.Queue,
		Team:  a.team,
		Route: job.Route,
		Cell:  cell,
	})
	if err != nil {
		return storer.Transaction{}, err
	}
	return storer.Transaction{
		Conditions: []storer.Condition{
			{
				Key:     f.cfg.Schema.ConfigurationKey(),
				Version: a.conf.revision,
			},
			{
				Key:     jobkeeper.ProgressKey(a.id),
				Version: refusal,
			},
		},
		Puts: []storer.Put{
			{
				Key:   jobkeeper.DocumentKey(cell, a.id),
				Value: document,
			},
			{
				Key:   jobkeeper.ProgressKey(a.id),
				Value: progress,
			},
		},
	}, nil
}

// withStoreTimeout bounds a call to the store by storeTimeout and by the deadline of the
// caller.
func (f *Front) withStoreTimeout(ctx context.Context, call Call) (context.Context, context.CancelFunc) {
	timeout := storeTimeout
	if !call.Deadline.IsZero() {
		timeout = min(timeout, max(minStoreTimeout, time.Until(call.Deadline)))
	}
	return context.WithTimeout(ctx, timeout)
}

// minStoreTimeout is the shortest timeout of a call to the store, also if the deadline is
// closer.
const minStoreTimeout = 50 * time.Millisecond

// resolveConflict returns the answer to a submission if a conflict settles it: the job is already
// stored, or was withdrawn. If the conflict shows an earlier refusal, it returns its version.
func (f *Front) resolveConflict(a authorizedCall, conflict *storer.ConflictError) (Result, storer.Version) {
	stored := Result{
		Verdict: VerdictOK,
		State:   jobkeeper.StateQueued,
	}
	item := conflict.Find(jobkeeper.ProgressKey(a.id))
	if item.Version == 0 {
		return Result{}, 0
	}
	progress, err := jobkeeper.DecodeProgress(item.Value)
	if err != nil {
		f.cfg.Logger.Error("record of a job not readable", "job", a.id, "error", err)
		return stored, 0
	}
	switch progress.State {
	case jobkeeper.StateRefused:
		return Result{}, item.Version
	case jobkeeper.StateWithdrawn:
		f.cfg.Logger.Info("job not accepted, it was cancelled before", "job", a.id, "queue", a.route.Queue)
		return Result{
			Verdict: VerdictNotRun,
			Reason:  "cancelled before it was accepted",
		}, 0
	}
	f.cfg.Logger.Info("job already stored", "job", a.id, "queue", a.route.Queue, "state", progress.State)
	return stored, 0
}

// State returns the state of a job, or the number of waiting jobs of a queue if the path has
// no job ID.
func (f *Front) State(ctx context.Context, call Call) Result {
	return f.measure("state", func() Result { return f.serve(ctx, CallState, call, f.state) })
}

func (f *Front) state(ctx context.Context, call Call) Result {
	a, result := f.authorize(call)
	if result.Verdict != VerdictOK {
		return result
	}
	if a.id == "" {
		waiting := f.view.waitingJobs(a.route.Queue)
		f.cfg.Logger.Debug("queue state", "queue", a.route.Queue, "pending", waiting)
		return Result{
			Verdict:     VerdictOK,
			WaitingJobs: waiting,
		}
	}
	stored, err := f.readJob(ctx, call, a)
	if err != nil {
		f.cfg.Logger.Warn("reading the state of a job failed", "job", a.id, "error", err)
		return unavailable("store unavailable")
	}
	return stored.result()
}

// storedJob is what the store has of a job.
type storedJob struct {
	state jobkeeper.State // empty if there is no such job
	cell  string          // whose owner runs it
	// unsettled is true if the job may still be accepted: there is no record of it but a refusal,
	// of the given version.
	unsettled bool
	refusal   storer.Version
}

func (r storedJob) result() Result {
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

// readJob reads the state of a job from its progress record.
func (f *Front) readJob(ctx context.Context, call Call, a authorizedCall) (storedJob, error) {
	ctx, cancel := f.withStoreTimeout(ctx, call)
	defer cancel()
	item, err := f.cfg.Store.Read(ctx, jobkeeper.ProgressKey(a.id))
	if err != nil {
		return storedJob{}, err
	}
	if item.Version == 0 {
		return storedJob{
			unsettled: true,
		}, nil
	}
	progress, err := jobkeeper.DecodeProgress(item.Value)
	if err != nil {
		return storedJob{}, err
	}
	if !progress.State.Accepted() || !a.mayAccess(progress) {
		return storedJob{
			unsettled: progress.State == jobkeeper.StateRefused,
			refusal:   item.Version,
		}, nil
	}
	return storedJob{
		state: progress.State,
		cell:  progress.Cell,
	}, nil
}

func unavailable(reason string) Result {
	return Result{
		Verdict:    VerdictUnavailable,
		Reason:     reason,
		RetryAfter: outageRetryAfter,
	}
}
