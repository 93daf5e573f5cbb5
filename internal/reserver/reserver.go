// Package reserver holds ports of the loopback interface for processes that are started later,
// or that are down for a while.
package reserver

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("reserver")

// The ports lie below the system's range for outgoing connections, so that no connection
// occupies one while nobody listens on it.
const (
	firstPort = 10_000
	lastPort  = 32_000
)

// Ports are the ports that one user holds until Close. No other Ports on this machine gets them.
// The zero value holds none.
//
// A port is held by a TCP socket that is bound without SO_REUSEADDR, which fails while any
// other socket has the port, and gets the option afterwards. It never listens, so a listener
// with the option, which Go always sets, can bind the port beside it. A UDP port is held by the
// TCP port of the same number.
type Ports struct {
	mu      sync.Mutex
	sockets []int
}

// Reserve returns a loopback address (host:port) for a TCP or UDP listener. It fails if the
// system refuses another socket.
func (p *Ports) Reserve() (string, error) {
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		socket, err := bindPort(port)
		if err == syscall.EADDRINUSE { //nolint:errorlint // a plain number
			continue
		}
		if err != nil {
			return "", Error.New("reserving port %d: %w", port, err)
		}
		p.mu.Lock()
		p.sockets = append(p.sockets, socket)
		p.mu.Unlock()
		return fmt.Sprintf("127.0.0.1:%d", port), nil
	}
}

// bindPort returns a TCP socket that holds a port of the loopback interface.
func bindPort(port int) (int, error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{
		Port: port,
		Addr: [4]byte{127, 0, 0, 1},
	}); err != nil {
		_ = syscall.Close(socket)
		return 0, err
	}
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		_ = syscall.Close(socket)
		return 0, err
	}
	return socket, nil
}

// Close gives all ports back.
func (p *Ports) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, socket := range p.sockets {
		_ = syscall.Close(socket)
	}
	p.sockets = nil
}
