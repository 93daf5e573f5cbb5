// Package supervisor runs the components of an entry daemon as a tree of
// actors. A component that fails or panics is restarted with a growing delay
// while its siblings keep running. Stopping the tree stops the components in
// the reverse order of their start.
package supervisor

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("supervisor")

const (
	// The restart delay is back at initialBackoff after this time without a failure.
	backoffWindow  = time.Minute
	initialBackoff = 100 * time.Millisecond
	stopTimeout    = 10 * time.Second
)

// Component is a node of the tree. It usually has either Children or Run.
type Component struct {
	Name string
	// Run has to return when ctx is done. An error or a panic restarts the component.
	Run      func(ctx context.Context) error
	Children []Component
}

// Config configures a Tree.
type Config struct {
	Logger hclog.Logger
	// OnRestart is called at each restart; may be nil.
	OnRestart func(component string)
}

// Tree is a running supervisor tree.
type Tree struct {
	system *actor.ActorSystem
	root   *actor.PID
}

// Start starts the components in the given order.
func Start(cfg Config, root Component) *Tree {
	system := actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(&handler{logger: cfg.Logger})
	}))
	pid := system.Root.Spawn(props(cfg, root))
	return &Tree{
		system: system,
		root:   pid,
	}
}

// Stop stops all components and waits until they have ended.
func (t *Tree) Stop() error {
	future := t.system.Root.StopFuture(t.root)
	_, err := future.Result()
	t.system.Shutdown()
	return Error.Wrap(err)
}

func props(cfg Config, component Component) *actor.Props {
	return actor.PropsFromProducer(
		func() actor.Actor {
			return &node{
				cfg:       cfg,
				component: component,
			}
		},
		actor.WithSupervisor(actor.NewExponentialBackoffStrategy(backoffWindow, initialBackoff)),
	)
}

// ended is sent to a node when its Run has returned.
type ended struct {
	err error
}

type node struct {
	cfg       Config
	component Component
	cancel    context.CancelFunc
	done      chan struct{}
}

// Receive implements actor.Actor.
func (n *node) Receive(c actor.Context) {
	switch m := c.Message().(type) {
	case *actor.Started:
		n.start(c)
	case *actor.Restarting:
		n.cfg.Logger.Warn("component failed, restarting", "component", n.component.Name)
		if n.cfg.OnRestart != nil {
			n.cfg.OnRestart(n.component.Name)
		}
		n.stop()
	case *actor.Stopping:
		n.stopChildren(c)
		n.stop()
	case ended:
		if m.err != nil {
			// The actor library recovers the panic and has the supervisor restart this node.
			panic(m.err)
		}
	}
}

func (n *node) start(c actor.Context) {
	for _, child := range n.component.Children {
		c.Spawn(props(n.cfg, child))
	}
	if n.component.Run == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	n.cancel = cancel
	n.done = done
	self := c.Self()
	root := c.ActorSystem().Root
	go func() {
		err := run(ctx, n.component)
		close(done)
		if ctx.Err() == nil {
			root.Send(self, ended{err: err})
		}
	}()
}

// stopChildren stops the children one by one, the last one first, so that a
// component runs longer than those that were started after it.
func (n *node) stopChildren(c actor.Context) {
	children := c.Children()
	for i := len(children) - 1; i >= 0; i-- {
		if err := c.StopFuture(children[i]).Wait(); err != nil {
			n.cfg.Logger.Error("component did not stop in time", "component", children[i].Id, "error", err)
		}
	}
}

func (n *node) stop() {
	if n.cancel == nil {
		return
	}
	n.cancel()
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-n.done:
	case <-timer.C:
		n.cfg.Logger.Error("component did not stop in time", "component", n.component.Name)
	}
	n.cancel = nil
}

func run(ctx context.Context, component Component) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = Error.New("%s: panic: %v\n%s", component.Name, r, debug.Stack())
		}
	}()
	if err := component.Run(ctx); err != nil {
		return Error.Wrap(fmt.Errorf("%s: %w", component.Name, err))
	}
	return nil
}
