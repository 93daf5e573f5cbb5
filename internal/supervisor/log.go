package supervisor

import (
	"context"
	"log/slog"

	"github.com/hashicorp/go-hclog"
)

// handler forwards the log records of the actor library to hclog.
type handler struct {
	logger hclog.Logger
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(_ context.Context, level slog.Level) bool {
	return h.logger.GetLevel() <= convert(level)
}

// Handle implements slog.Handler.
func (h *handler) Handle(_ context.Context, r slog.Record) error {
	args := make([]any, 0, 2*r.NumAttrs())
	r.Attrs(func(a slog.Attr) bool {
		args = append(args, a.Key, a.Value.Any())
		return true
	})
	h.logger.Log(convert(r.Level), r.Message, args...)
	return nil
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	args := make([]any, 0, 2*len(attrs))
	for _, a := range attrs {
		args = append(args, a.Key, a.Value.Any())
	}
	return &handler{logger: h.logger.With(args...)}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{logger: h.logger.Named(name)}
}

// convert maps levels. Info records of the actor library become trace ones, because they
// describe its internals.
func convert(level slog.Level) hclog.Level {
	switch {
	case level >= slog.LevelError:
		return hclog.Error
	case level >= slog.LevelWarn:
		return hclog.Warn
	default:
		return hclog.Trace
	}
}
