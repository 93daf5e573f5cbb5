package drainer

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
)

// backlog is the largest number of established connections that Close accepts. The kernel's
// own queue is limited by net.core.somaxconn, 4096 by default.
const backlog = 4096

// listener returns from Accept, even after Close, the connections that the kernel had
// established before Close. Closing a net.TCPListener would reset them, and with them the
// requests of callers that are already connected.
type listener struct {
	*net.TCPListener
	once    sync.Once
	closing chan struct{} // Close has begun
	closed  chan struct{} // Close has ended
	queued  chan net.Conn // established before Close, not yet returned by Accept
	err     error         // of Close
}

// listen listens on the address. Accepted connections inherit the size of the receive buffer; zero
// leaves it to the system.
func listen(address string, receiveBuffer int) (*listener, error) {
	cfg := net.ListenConfig{
		Control: func(_, _ string, socket syscall.RawConn) error {
			if receiveBuffer == 0 {
				return nil
			}
			var err error
			if controlErr := socket.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			}); controlErr != nil {
				return controlErr
			}
			return err
		},
	}
	l, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &listener{
		TCPListener: l.(*net.TCPListener),
		closing:     make(chan struct{}),
		closed:      make(chan struct{}),
		queued:      make(chan net.Conn, backlog),
	}, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err == nil {
		return conn, nil
	}
	select {
	case <-l.closing:
	default:
		return nil, err
	}
	<-l.closed
	select {
	case conn := <-l.queued:
		return conn, nil
	default:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closing)
		l.err = errors.Join(l.drainBacklog(), l.TCPListener.Close())
		close(l.closed)
	})
	return Error.Wrap(l.err)
}

// drainBacklog accepts the established connections and makes the kernel refuse new ones.
func (l *listener) drainBacklog() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var established []int
	var shutdown error
	err = raw.Control(func(fd uintptr) {
		for len(established) < backlog {
			conn, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR) {
				continue
			}
			if err != nil {
				break // the queue is empty
			}
			established = append(established, conn)
		}
		shutdown = syscall.Shutdown(int(fd), syscall.SHUT_RD)
	})
	problems := []error{err, shutdown}
	for _, fd := range established {
		f := os.NewFile(uintptr(fd), "")
		conn, err := net.FileConn(f)
		problems = append(problems, err, f.Close())
		if err == nil {
			l.queued <- conn
		}
	}
	return errors.Join(problems...)
}
