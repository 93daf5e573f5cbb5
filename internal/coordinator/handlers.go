package coordinator

import (
	"context"

	"github.com/comfreyford/comfreyford/pkg/limiter"
	"github.com/comfreyford/comfreyford/pkg/registrar"
)

// The handlers of this file answer requests that name their sender. The name must be that of
// the sender's certificate.

func (e *Entry) servePromise(ctx context.Context, peer string, r registrar.PromiseRequest) (registrar.PromiseAnswer, error) {
	if r.Entry != peer {
		return registrar.PromiseAnswer{}, Error.New("request of %q came with the certificate of %q", r.Entry, peer)
	}
	answer := e.registrar.ServePromise(ctx, r)
	if !answer.Granted {
		// A peer asks once per second while the key-value service is unreachable.
		e.logger("members").Info("promise refused", "peer", peer, "reason", answer.Reason, "peer_revision", r.Revision,
			"own_revision", e.view.Current().Tree.Revision)
	}
	return answer, nil
}

func (e *Entry) serveConfirm(_ context.Context, peer string, r registrar.ConfirmRequest) (registrar.ConfirmAnswer, error) {
	if r.Member.Entry != peer {
		return registrar.ConfirmAnswer{}, Error.New("request of %q came with the certificate of %q", r.Member.Entry, peer)
	}
	return e.registrar.ServeConfirm(r), nil
}

func (e *Entry) serveTransfer(ctx context.Context, peer string, r limiter.TransferRequest) (limiter.TransferAnswer, error) {
	if r.Recipient.Entry != peer {
		return limiter.TransferAnswer{}, Error.New("request of %q came with the certificate of %q", r.Recipient.Entry, peer)
	}
	return e.limits.ServeTransfer(ctx, r)
}
