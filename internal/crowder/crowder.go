// Package crowder plays callers that nobody controls, for tests: many connections to a process, each
// within the limits of a single request, most of which stop short of its end and stay open. It also
// observes what the process uses.
package crowder

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// Size is the number of connections of a crowd.
	Size = 400
	// BodyBytes is the size of a large body.
	BodyBytes = 250_000
	// sendTime bounds the time in which a crowd sends.
	sendTime = 20 * time.Second
	// readInterval is the time between two bytes that a slow reader takes.
	readInterval = 50 * time.Millisecond
)

// Member sends what the connection number i of a crowd sends. The connection stays open afterwards.
type Member func(w *bufio.Writer, i int)

// Target says to which host and path a crowd sends its requests.
type Target struct {
	Host string
	Path func(i int) string
	// Fields are further header fields, each with its line end.
	Fields string
}

func (t Target) post(i int, fields string) string {
	return "POST " + t.Path(i) + " HTTP/1.1\r\nHost: " + t.Host + "\r\nContent-Type: application/json\r\n" + t.Fields + fields
}

// UnfinishedBody sends a body in pieces of a size; its last bytes never come.
func (t Target) UnfinishedBody(piece int) Member {
	return func(w *bufio.Writer, i int) {
		_, _ = w.WriteString(t.post(i, fmt.Sprintf("Content-Length: %d\r\n\r\n", BodyBytes)))
		data := bytes.Repeat([]byte(" "), piece)
		for sent := 0; sent < BodyBytes-piece; sent += piece {
			if _, err := w.Write(data); err != nil || w.Flush() != nil {
				return
			}
		}
		_, _ = w.Write(data[:piece-1])
	}
}

// UnfinishedChunks sends a body in chunks of a size; the end never comes.
func (t Target) UnfinishedChunks(size int) Member {
	return func(w *bufio.Writer, i int) {
		_, _ = w.WriteString(t.post(i, "Transfer-Encoding: chunked\r\n\r\n"))
		chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, strings.Repeat(" ", size))
		for sent := 0; sent < BodyBytes-size; sent += size {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	}
}

// Document sends a whole body.
func (t Target) Document(body string) Member {
	return func(w *bufio.Writer, i int) {
		_, _ = w.WriteString(t.post(i, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))) + body)
	}
}

// LargeField sends a header with a large field and without an end.
func (t Target) LargeField() Member {
	return func(w *bufio.Writer, i int) {
		_, _ = w.WriteString(t.post(i, "a: ") + strings.Repeat("a", 1_000_000))
	}
}

// ManyFields sends a header with many fields and without an end.
func (t Target) ManyFields() Member {
	return func(w *bufio.Writer, i int) {
		_, _ = w.WriteString(t.post(i, ""))
		for n := range 90_000 {
			if _, err := w.WriteString(strconv.FormatInt(int64(n), 36) + ":\r\n"); err != nil {
				return
			}
		}
	}
}

// Pipelined sends n requests for a path at once.
func (t Target) Pipelined(path string, n int) Member {
	request := "GET " + path + " HTTP/1.1\r\nHost: " + t.Host + "\r\n" + t.Fields + "\r\n"
	return func(w *bufio.Writer, _ int) {
		for range n {
			if _, err := w.WriteString(request); err != nil {
				return
			}
		}
	}
}

// Silent sends nothing.
func Silent(*bufio.Writer, int) {}

// Repeated returns a text of about BodyBytes that repeats a unit.
func Repeated(before, unit, after string) string {
	return before + strings.Repeat(unit, (BodyBytes-len(before)-len(after))/len(unit)) + after
}

// Crowd is a set of open connections.
type Crowd struct {
	mu          sync.Mutex
	connections []net.Conn
	done        chan struct{} // closed when the crowd disperses
	readers     sync.WaitGroup
}

// Gather opens the connections of a crowd. It returns when each member has sent what it sends, was
// refused, or could not send it in time. Members read no answers, or with slowly, byte by byte.
func Gather(address string, member Member, slowly bool) *Crowd {
	c := &Crowd{
		done: make(chan struct{}),
	}
	end := time.Now().Add(sendTime)
	var senders sync.WaitGroup
	for i := range Size {
		senders.Go(func() {
			conn, err := net.DialTimeout("tcp", address, time.Until(end))
			if err != nil {
				return // refused
			}
			c.mu.Lock()
			c.connections = append(c.connections, conn)
			c.mu.Unlock()
			_ = conn.SetWriteDeadline(end) // fails on a closed connection, and so does a write
			if slowly {
				c.readers.Go(func() { c.readSlowly(conn) })
			}
			w := bufio.NewWriterSize(conn, 4<<10)
			member(w, i)
			_ = w.Flush() // the other end may have closed the connection
		})
	}
	senders.Wait()
	return c
}

func (c *Crowd) readSlowly(conn net.Conn) {
	for {
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			return
		}
		select {
		case <-c.done:
			return
		case <-time.After(readInterval):
		}
	}
}

// Disperse closes all connections. It must be called once.
func (c *Crowd) Disperse() {
	close(c.done)
	for _, conn := range c.connections {
		_ = conn.Close() // the other end may have closed it
	}
	c.readers.Wait()
}
