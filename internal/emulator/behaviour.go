package emulator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"time"
)

// maxApplicationBytes limits the answer of the emulated application.
const maxApplicationBytes = 64 << 20

// behaviour tells the emulated application how to answer a task.
type behaviour struct {
	duration time.Duration
	status   int
	bytes    int64 // minimum length of the answer
}

// parseBehaviour reads duration_ms (0 to one hour), status (200 to 599) and bytes (0 to
// maxApplicationBytes) from the query of path. Other parameters are ignored.
func parseBehaviour(path string) (behaviour, error) {
	b := behaviour{status: 200}
	u, err := url.ParseRequestURI(path)
	if err != nil {
		return b, fmt.Errorf("path: %w", err)
	}
	query, err := url.ParseQuery(u.RawQuery)
	if err != nil {
		return b, fmt.Errorf("query of the path: %w", err)
	}
	duration, err := queryNumber(query, "duration_ms", 0, 0, maxDelay.Milliseconds())
	if err != nil {
		return b, err
	}
	status, err := queryNumber(query, "status", 200, 200, 599)
	if err != nil {
		return b, err
	}
	b.bytes, err = queryNumber(query, "bytes", 0, 0, maxApplicationBytes)
	if err != nil {
		return b, err
	}
	b.duration = time.Duration(duration) * time.Millisecond
	b.status = int(status)
	return b, nil
}

func queryNumber(query url.Values, name string, defaultValue, smallest, largest int64) (int64, error) {
	if !query.Has(name) {
		return defaultValue, nil
	}
	n, err := strconv.ParseInt(query.Get(name), 10, 64)
	if err != nil || n < smallest || n > largest {
		return 0, fmt.Errorf("%s is %q, want %d to %d", name, query.Get(name), smallest, largest)
	}
	return n, nil
}

// Echo is the content of the emulated application's answer. It is computed from the
// request, so that a caller can check that the answer belongs to its request.
type Echo struct {
	Identity string `json:"identity"`
	Xxhash   string `json:"xxhash"` // of the request body, as 16 hexadecimal digits
	Length   int64  `json:"length"` // of the request body in bytes
}

// ParseEcho parses an answer of the emulated application: a JSON object that only white
// space may follow.
func ParseEcho(r io.Reader) (Echo, error) {
	var echo Echo
	decoder := json.NewDecoder(r)
	if err := decoder.Decode(&echo); err != nil {
		return Echo{}, fmt.Errorf("answer of the application: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Echo{}, errors.New("answer of the application: content after the object")
	}
	return echo, nil
}

// padded is a reader that returns head and then spaces, length bytes in total.
type padded struct {
	head   []byte
	length int64
	offset int64
}

// Read implements io.Reader.
func (p *padded) Read(buf []byte) (int, error) {
	if p.offset >= p.length {
		return 0, io.EOF
	}
	buf = buf[:min(int64(len(buf)), p.length-p.offset)]
	n := len(buf)
	if p.offset < int64(len(p.head)) {
		n = copy(buf, p.head[p.offset:])
	} else {
		for i := range buf {
			buf[i] = ' '
		}
	}
	p.offset += int64(n)
	return n, nil
}
