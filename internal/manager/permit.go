package manager

import "context"

type permitKey struct{}

// WithPermit returns a context for a call that may be sent only while valid returns true.
func WithPermit(ctx context.Context, valid func() bool) context.Context {
	return context.WithValue(ctx, permitKey{}, valid)
}

// Permitted reports whether a call with the context may be sent now. A client asks right before
// it writes the request: the process may have been suspended since the call began, for example
// while it opened a connection, and timers don't run meanwhile.
func Permitted(ctx context.Context) bool {
	valid, ok := ctx.Value(permitKey{}).(func() bool)
	return !ok || valid()
}
