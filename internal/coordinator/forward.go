package coordinator

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/comfreyford/comfreyford/internal/dispatcher"
	"github.com/comfreyford/comfreyford/internal/messenger"
)

// Forward implements dispatcher.Peers.
func (p *peers) Forward(ctx context.Context, peer string, r dispatcher.Request) dispatcher.Result {
	return p.send(ctx, peer, kindForward, forwardRequest{
		Queue:       r.Queue,
		Method:      r.Method,
		Path:        r.Path,
		ContentType: r.ContentType,
		Identity:    r.Identity,
		Team:        r.Team,
		KeyID:       r.KeyID,
		Timeout:     time.Until(r.Deadline),
		Hops:        r.Hops + 1,
	}, r.Body)
}

// ForwardJob implements dispatcher.Peers.
func (p *peers) ForwardJob(ctx context.Context, peer string, r dispatcher.JobRequest) dispatcher.Result {
	return p.send(ctx, peer, kindForwardJob, forwardJobRequest{
		Action:   r.Action,
		Identity: r.Identity,
		Team:     r.Team,
		Hops:     r.Hops + 1,
	}, nil)
}

// send sends a request with its body and returns the answer. The body of the answer is
// streamed.
func (p *peers) send(ctx context.Context, peer string, kind messenger.Kind, request any, body io.Reader) dispatcher.Result {
	address, err := p.address(peer)
	if err != nil {
		return dispatcher.NotRun(dispatcher.ReasonPeerUnreachable, err.Error())
	}
	s, err := p.messenger.Open(ctx, address, kind, request)
	if errors.Is(err, messenger.ErrUnreachable) {
		return dispatcher.NotRun(dispatcher.ReasonPeerUnreachable, err.Error())
	}
	if err != nil {
		return dispatcher.Unknown(dispatcher.ReasonPeerLost, err.Error())
	}
	var answer forwardAnswer
	if err := s.Exchange(body, &answer); err != nil {
		s.Abort()
		s.Close()
		return dispatcher.Unknown(dispatcher.ReasonPeerLost, err.Error())
	}
	result := dispatcher.Result{
		Outcome:     answer.Outcome,
		Reason:      answer.Reason,
		Detail:      answer.Detail,
		Status:      answer.Status,
		ContentType: answer.ContentType,
		RetryAfter:  answer.RetryAfter,
	}
	if !answer.Body {
		s.Close()
		return result
	}
	result.Body = &peerBody{
		Reader: s.Body(),
		stream: s,
	}
	return result
}

// peerBody is the body of a peer's answer.
type peerBody struct {
	io.Reader
	stream *messenger.Stream
}

// Close implements io.Closer.
func (b *peerBody) Close() error {
	b.stream.Close()
	return nil
}

// serveForward runs a request that a peer forwarded.
func (e *Entry) serveForward(ctx context.Context, _ string, s *messenger.Stream) error {
	var r forwardRequest
	if err := s.Decode(&r); err != nil {
		return err
	}
	return answerForward(s, e.dispatcher.Submit(ctx, dispatcher.Request{
		Queue:       r.Queue,
		Method:      r.Method,
		Path:        r.Path,
		ContentType: r.ContentType,
		Identity:    r.Identity,
		Team:        r.Team,
		KeyID:       r.KeyID,
		Deadline:    time.Now().Add(r.Timeout),
		Body:        http.MaxBytesReader(nil, io.NopCloser(s.Body()), e.cfg.Settings.RequestBodyLimitBytes),
		Hops:        r.Hops,
	}))
}

// serveForwardJob answers a job request that a peer forwarded.
func (e *Entry) serveForwardJob(ctx context.Context, _ string, s *messenger.Stream) error {
	var r forwardJobRequest
	if err := s.Decode(&r); err != nil {
		return err
	}
	return answerForward(s, e.dispatcher.Job(ctx, dispatcher.JobRequest{
		Action:   r.Action,
		Identity: r.Identity,
		Team:     r.Team,
		Hops:     r.Hops,
	}))
}

// answerForward sends the result with its body. After an error the stream ends without the end
// of the body, so the peer detects the truncation.
func answerForward(s *messenger.Stream, result dispatcher.Result) error {
	if result.Body != nil {
		defer result.Body.Close()
	}
	if err := s.Answer(forwardAnswer{
		Outcome:     result.Outcome,
		Reason:      result.Reason,
		Detail:      result.Detail,
		Status:      result.Status,
		ContentType: result.ContentType,
		RetryAfter:  result.RetryAfter,
		Body:        result.Body != nil,
	}); err != nil {
		return err
	}
	if result.Body == nil {
		return nil
	}
	return s.SendBody(result.Body)
}
