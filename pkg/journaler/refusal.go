package journaler

import (
	"errors"
)

// Answer tells a caller whether its request ran, in the terms of section 5.8 of the design.
type Answer string

// The answers that errors of Submit, Start and Lookup stand for.
const (
	AnswerNotRun  Answer = "not_run"
	AnswerUnknown Answer = "outcome_unknown"
)

// Refusal is sent to a caller instead of a result.
type Refusal struct {
	Answer Answer `json:"outcome"`
	Reason string `json:"reason"` // machine-readable
	Detail string `json:"detail"`
}

// RefusalOf translates an error of Submit or Start. It says "not run" only if
// the error proves that this call caused no run and, for an identity without a
// record, that no earlier call did either.
func RefusalOf(err error) Refusal {
	refusal := Refusal{
		Answer: AnswerNotRun,
		Reason: reasonOf(err),
	}
	if err != nil {
		refusal.Detail = err.Error()
	}
	// The request of an ended record may have run; only the record tells.
	if CommitEffect(err) != EffectNone || errors.Is(err, ErrIdentityExpired) || errors.Is(err, ErrTransitionNotAllowed) {
		refusal.Answer = AnswerUnknown
	}
	return refusal
}

func reasonOf(err error) string {
	for _, known := range []struct {
		err    error
		reason string
	}{
		{ErrBadIdentity, "bad_identity"},
		{ErrIdentityReused, "bad_identity"},
		{ErrWrongTeam, "bad_identity"},
		{ErrIdentityExpired, "identity_expired"},
		{ErrBodyTooLarge, "body_too_large"},
		{ErrFieldTooLong, "field_too_long"},
		{ErrShardFull, "shard_full"},
		{ErrTransitionNotAllowed, "ended"},
	} {
		if errors.Is(err, known.err) {
			return known.reason
		}
	}
	return "journal_unavailable"
}
