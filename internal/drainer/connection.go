package drainer

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyford/comfreyford/pkg/budgeter"
)

// Reasons for which a caller is refused; labels of metrics and logs.
const (
	ReasonConnections = "connections" // too many connections
	ReasonMemory      = "memory"      // what the request would hold does not fit
	ReasonShed        = "shed"        // the caller made no progress while others waited
	ReasonSlow        = "slow"        // the caller made no progress for too long
)

// expiryParts is how many times per window connections without progress are looked for.
const expiryParts = 4

// bodyCopies is how often a body is held that the handler reads into a growing buffer.
const bodyCopies = 3

// smallWrite is the size of an answer that needs no progress of its caller to be noted.
const smallWrite = 4 << 10

// phase is the part of a request that a connection is in.
type phase int32

const (
	phaseHeader   phase = iota // before the header is complete
	phaseHandling              // the handler runs
	phaseRest                  // the answer, and what the handler has not read of the body
)

// connection is a caller's connection that counts against a budget.
type connection struct {
	net.Conn
	server *Server
	holder *budgeter.Holder[*connection]
	phase  atomic.Int32
	shed   atomic.Bool
	// readsBody is true while the handler reads the body, and ended when the last handler returned.
	readsBody atomic.Bool
	ended     time.Time
}

// budgetedListener accepts the connections that the budget of its server has room for.
type budgetedListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener. Connections that do not fit are closed.
func (l *budgetedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.server.admit(conn); c != nil {
			return c, nil
		}
	}
}

// admit returns the connection if the budget has room for it, and otherwise closes it.
func (s *Server) admit(conn net.Conn) net.Conn {
	c := &connection{
		Conn:   conn,
		server: s,
	}
	origin := hostOf(conn.RemoteAddr())
	holder, shed := s.budget.Open(c, origin, time.Now())
	s.close(shed, ReasonShed)
	if holder == nil {
		s.refused(ReasonConnections, origin)
		_ = conn.Close() // the caller has sent nothing that was read
		return nil
	}
	c.holder = holder
	s.expireLater()
	return c
}

// close closes the connections of holders that have lost what they held.
func (s *Server) close(holders []*budgeter.Holder[*connection], reason string) {
	for _, h := range holders {
		h.Connection.shed.Store(true)
		s.refused(reason, hostOf(h.Connection.RemoteAddr()))
		_ = h.Connection.Conn.Close() // its handler, if any, notices
	}
}

// expireLater makes sure that connections without progress are looked for.
func (s *Server) expireLater() {
	if s.expiring.CompareAndSwap(false, true) {
		time.AfterFunc(s.budget.Config().Window/expiryParts, s.expire)
	}
}

func (s *Server) expire() {
	s.expiring.Store(false)
	s.close(s.budget.Expire(time.Now()), ReasonSlow)
	if s.budget.Usage().Connections > 0 {
		s.expireLater()
	}
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	// net/http also reads a single byte while the handler works, to notice that the caller has gone.
	forBody := c.readsBody.Load() && len(p) > 1
	if forBody {
		c.server.budget.Wait(c.holder, budgeter.WaitingForCaller, time.Now())
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received(n, forBody)
	}
	if c.shed.Load() {
		return 0, os.ErrDeadlineExceeded // net/http closes the connection without an answer
	}
	return n, err
}

// received notes progress with a header or a body, and reserves what a header will hold before it is decoded.
func (c *connection) received(n int, forBody bool) {
	now := time.Now()
	budget := c.server.budget
	switch {
	case phase(c.phase.Load()) == phaseHeader:
		ok, shed := budget.Receive(c.holder, n, now)
		c.server.close(shed, ReasonShed)
		if !ok && !c.shed.Swap(true) {
			c.server.refused(ReasonMemory, hostOf(c.RemoteAddr()))
		}
	case forBody:
		budget.Progress(c.holder, n, now)
		budget.Wait(c.holder, budgeter.WaitingForWork, now)
	default:
		budget.Progress(c.holder, n, now)
	}
}

// Write implements net.Conn.
func (c *connection) Write(p []byte) (int, error) {
	if phase(c.phase.Load()) == phaseRest && len(p) <= smallWrite {
		return c.Conn.Write(p) // end has noted that the process waits for the caller
	}
	now := time.Now()
	budget := c.server.budget
	budget.Wait(c.holder, budgeter.WaitingForCaller, now)
	n, err := c.Conn.Write(p)
	budget.Progress(c.holder, n, now)
	if phase(c.phase.Load()) == phaseHandling {
		budget.Wait(c.holder, budgeter.WaitingForWork, now)
	}
	return n, err
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.server.budget.Close(c.holder)
	return c.Conn.Close()
}

// CloseWrite makes net/http end an answer before it closes the connection.
func (c *connection) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// begin notes that the header of a request was read. It reports whether the request fits.
func (c *connection) begin(r *http.Request) bool {
	c.phase.Store(int32(phaseHandling))
	held := int64(budgeter.RequestBytes)
	for name, values := range r.Header {
		held += budgeter.FieldBytes + int64(len(name))
		for _, value := range values {
			held += int64(len(value))
		}
	}
	ok, shed := c.server.budget.Begin(c.holder, held, time.Now())
	c.server.close(shed, ReasonShed)
	if !ok && !c.shed.Load() {
		c.server.refused(ReasonMemory, hostOf(c.RemoteAddr()))
	}
	return ok
}

// end notes that the handler has returned.
func (c *connection) end() {
	c.phase.Store(int32(phaseRest))
	c.ended = time.Now()
	c.server.budget.End(c.holder, c.ended)
}

// idle notes that the process waits for the next request.
func (c *connection) idle() {
	c.phase.Store(int32(phaseHeader))
	c.server.budget.Wait(c.holder, budgeter.WaitingForRequest, c.ended)
}

// body is the body of a request, for which room is reserved as it is read.
type body struct {
	io.ReadCloser
	connection *connection
	unreserved int64 // bytes that the handler is going to hold and has not reserved itself
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	defer b.connection.readBody()()
	n, err := b.ReadCloser.Read(p)
	if held := min(int64(n), b.unreserved); held > 0 {
		b.unreserved -= held
		if err := b.connection.reserve(held * bodyCopies); err != nil {
			return 0, err
		}
	}
	return n, err
}

// countedBody is the body of a request after which the caller wants the connection closed.
type countedBody struct {
	io.ReadCloser
	left int64 // bytes that the handler has not read
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	return n, err
}

// lingerIfLeft makes net/http wait between the answer and the close if the body was not read to its
// end. Closing at once resets the connection, and the caller may lose the answer. net/http waits by
// itself only if it was not the caller who asked for the close.
func (b *countedBody) lingerIfLeft(w http.ResponseWriter) {
	if b.left <= 0 {
		return
	}
	beyond := http.MaxBytesReader(w, io.NopCloser(strings.NewReader("-")), 0)
	_, _ = beyond.Read(make([]byte, 1)) // reports to w that the body exceeds a limit
}

// readBody notes that the handler reads the body, until the returned function is called.
func (c *connection) readBody() func() {
	c.readsBody.Store(true)
	return func() { c.readsBody.Store(false) }
}

type connectionKey struct{}

// Reserve reserves n bytes until the request of the context is answered. It returns
// budgeter.ErrNoRoom if they don't fit. Without a Server, nothing is reserved.
func Reserve(ctx context.Context, n int64) error {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok {
		return nil
	}
	return c.reserve(n)
}

func (c *connection) reserve(n int64) error {
	fits, shed := c.server.budget.Reserve(c.holder, n, time.Now())
	c.server.close(shed, ReasonShed)
	if fits {
		return nil
	}
	if !c.shed.Load() {
		c.server.refused(ReasonMemory, hostOf(c.RemoteAddr()))
	}
	return budgeter.ErrNoRoom
}

// EverFits reports whether n bytes can be reserved for a request when the server is idle.
func EverFits(ctx context.Context, n int64) bool {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	return !ok || c.server.budget.EverFits(n)
}

// segment is how much of a body without a stated length is reserved and read at a time.
const segment = 16 << 10

// segmentPool holds segments, so that bodies that are refused halfway leave no garbage.
var segmentPool = sync.Pool{New: func() any { return new([segment]byte) }}

// ReadBody reads the body of a request, for which it reserves room first. The error is
// budgeter.ErrNoRoom,
// an *http.MaxBytesError if the body exceeds limit, or that of the connection.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close") // the body is not read
		return nil, &http.MaxBytesError{
			Limit: limit,
		}
	}
	source := http.MaxBytesReader(w, r.Body, limit)
	if c, ok := r.Context().Value(connectionKey{}).(*connection); ok {
		defer c.readBody()()
	}
	if r.ContentLength >= 0 {
		if err := Reserve(r.Context(), r.ContentLength); err != nil {
			return nil, err
		}
		data := make([]byte, r.ContentLength)
		_, err := io.ReadFull(source, data)
		return data, err
	}
	return readSegments(r.Context(), source)
}

// readSegments reads a body without a stated length.
func readSegments(ctx context.Context, source io.Reader) ([]byte, error) {
	var segments []*[segment]byte
	defer func() {
		for _, s := range segments {
			segmentPool.Put(s)
		}
	}()
	total := 0
	for complete := false; !complete; {
		if err := Reserve(ctx, segment); err != nil {
			return nil, err
		}
		s := segmentPool.Get().(*[segment]byte)
		segments = append(segments, s)
		var n int
		var err error
		if n, complete, err = fill(s, source); err != nil {
			return nil, err
		}
		total += n
	}
	if err := Reserve(ctx, int64(total)); err != nil {
		return nil, err
	}
	data := make([]byte, 0, total)
	for _, s := range segments {
		data = append(data, s[:min(segment, total-len(data))]...)
	}
	return data, nil
}

// fill reads a segment, and tells whether the body ends with it.
func fill(s *[segment]byte, source io.Reader) (n int, complete bool, err error) {
	for n < segment {
		read, err := source.Read(s[n:])
		n += read
		// Not errors.Is: a wrapped io.EOF means that the body is incomplete.
		if err == io.EOF {
			return n, true, nil
		}
		if err != nil {
			return n, false, err
		}
	}
	return n, false, nil
}

func hostOf(address net.Addr) string {
	if tcp, ok := address.(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return address.String()
}
