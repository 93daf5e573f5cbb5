package manager

import (
	"runtime/debug"

	"github.com/hashicorp/go-hclog"
)

// guard calls f and returns its error. It turns a panic into an error, which it logs with the
// kind and ID of what was being processed. One job, target or message that the code can't process must not end
// the daemon, or the ownership of a cell.
func guard(logger hclog.Logger, kind, id string, f func() error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = Error.New("%s %s: panic: %v", kind, id, r)
			logger.Error("processing failed", "kind", kind, "id", id, "panic", r, "stack", string(debug.Stack()))
		}
	}()
	return f()
}
