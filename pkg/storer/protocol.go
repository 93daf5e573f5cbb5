package storer

import "errors"

// Code is the error code in an answer with a status other than 200.
type Code string

// The error codes of the service. Each proves that nothing was written.
const (
	CodeConflict      Code = "version_conflict"
	CodeUnavailable   Code = "unavailable"
	CodeTooLarge      Code = "value_too_large"
	CodeLeaseNotFound Code = "lease_not_found"
)

// WriteRequest is the body of a compare-and-swap or, without value and lease, of a deletion.
type WriteRequest struct {
	Key      string  `json:"key"`
	Value    []byte  `json:"value,omitempty"`
	Expected Version `json:"expected"`
	Lease    LeaseID `json:"lease,omitempty"`
}

// WriteAnswer is the answer to a compare-and-swap.
type WriteAnswer struct {
	Version Version `json:"version"`
}

// LeaseRequest is the body of a request for a lease.
type LeaseRequest struct {
	TTLMS int64 `json:"ttl_ms"`
}

// LeaseAnswer is the answer to a LeaseRequest.
type LeaseAnswer struct {
	ID LeaseID `json:"id"`
}

// ErrorAnswer is the body of an answer with a status other than 200.
type ErrorAnswer struct {
	Code Code `json:"error"`
}

// Err returns the sentinel error for the code, or nil for an unknown code.
func (c Code) Err() error {
	switch c {
	case CodeConflict:
		return ErrConflict
	case CodeUnavailable:
		return ErrUnavailable
	case CodeTooLarge:
		return ErrTooLarge
	case CodeLeaseNotFound:
		return ErrLeaseNotFound
	}
	return nil
}

// CodeOf returns the code whose sentinel error err wraps, or "" if there is none.
func CodeOf(err error) Code {
	for _, code := range []Code{CodeConflict, CodeUnavailable, CodeTooLarge, CodeLeaseNotFound} {
		if errors.Is(err, code.Err()) {
			return code
		}
	}
	return ""
}
