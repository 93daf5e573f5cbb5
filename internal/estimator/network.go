package estimator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/internal/coordinator"
	"github.com/comfreyford/comfreyford/internal/dispatcher"
	"github.com/comfreyford/comfreyford/internal/emulator"
	"github.com/comfreyford/comfreyford/internal/messenger"
	"github.com/comfreyford/comfreyford/internal/recorder"
	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/limiter"
	"github.com/comfreyford/comfreyford/pkg/lister"
	"github.com/comfreyford/comfreyford/pkg/planner"
	"github.com/comfreyford/comfreyford/pkg/registrar"
	"github.com/comfreyford/comfreyford/pkg/runner"
)

// node is the peer side of an entry daemon: a messenger and its report exchange.
type node struct {
	*messenger.Messenger
	exchange *coordinator.ReportExchange
	wg       sync.WaitGroup
}

func (n *node) close() error {
	err := n.Close()
	n.wg.Wait()
	return err
}

// newNodes returns serving nodes whose certificates are issued by the same CA.
func newNodes(ctx context.Context, count int) (nodes []*node, err error) {
	dir, err := os.MkdirTemp("", "estimator")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	authority, err := messenger.NewAuthority("estimator", time.Now())
	if err != nil {
		return nil, err
	}
	ca := filepath.Join(dir, "ca.pem")
	if err := authority.WriteCertificate(ca); err != nil {
		return nil, err
	}
	for i := range count {
		files := messenger.TLSFiles{
			Certificate: filepath.Join(dir, fmt.Sprint(i, ".pem")),
			Key:         filepath.Join(dir, fmt.Sprint(i, ".key")),
			CAs:         []string{ca},
		}
		name := fmt.Sprintf("entry-%04d", i)
		if _, err := authority.Issue(name, files.Certificate, files.Key, time.Now()); err != nil {
			return nodes, err
		}
		cfg, err := messenger.LoadTLS(files)
		if err != nil {
			return nodes, err
		}
		n := &node{exchange: coordinator.NewReportExchange(name)}
		n.Messenger, err = messenger.New(messenger.Config{
			Listen:   "127.0.0.1:0",
			TLS:      cfg,
			Logger:   hclog.NewNullLogger(),
			Handlers: n.exchange.Handlers(),
		})
		if err != nil {
			return nodes, err
		}
		n.wg.Go(func() { _ = n.Serve(ctx) })
		nodes = append(nodes, n)
	}
	return nodes, nil
}

// datagramProxy forwards datagrams between one client and a server and counts their bytes.
type datagramProxy struct {
	conn  *net.UDPConn
	bytes atomic.Int64
}

func newDatagramProxy(server string) (*datagramProxy, error) {
	to, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p := &datagramProxy{conn: conn}
	go p.forward(to)
	return p, nil
}

func (p *datagramProxy) forward(server *net.UDPAddr) {
	var client *net.UDPAddr
	buffer := make([]byte, 1<<16)
	for {
		n, from, err := p.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		p.bytes.Add(int64(n))
		to := server
		if from.Port == server.Port {
			to = client
		} else {
			client = from
		}
		if to != nil {
			_, _ = p.conn.WriteToUDP(buffer[:n], to) // QUIC sends lost data again
		}
	}
}

// reportExchange measures one report on count teams and count pools, and its answer. CPU time
// is that of both ends, measured without the proxy; bytes are those of both directions,
// including acknowledgements.
func reportExchange(ctx context.Context, count int) (Point, error) {
	nodes, err := newNodes(ctx, 2)
	if err != nil {
		return Point{}, err
	}
	defer func() { _ = errors.Join(nodes[0].close(), nodes[1].close()) }()
	send := func(address string) error {
		return nodes[0].exchange.Report(ctx, nodes[0].Messenger, address, count, count)
	}
	us, err := cpuMicros(func() error { return send(nodes[1].Addr()) })
	if err != nil {
		return Point{}, err
	}
	proxy, err := newDatagramProxy(nodes[1].Addr())
	if err != nil {
		return Point{}, err
	}
	defer func() { _ = proxy.conn.Close() }()
	if err := send(proxy.conn.LocalAddr().String()); err != nil {
		return Point{}, err
	}
	time.Sleep(100 * time.Millisecond) // until the handshake has ended
	before := proxy.bytes.Load()
	const reports = 20
	for range reports {
		if err := send(proxy.conn.LocalAddr().String()); err != nil {
			return Point{}, err
		}
		// The pause lets delayed acknowledgements and probes be counted too.
		time.Sleep(50 * time.Millisecond)
	}
	return Point{
		Bytes:           float64(proxy.bytes.Load()-before) / reports,
		CPUMicroseconds: us,
	}, nil
}

// peerConnections measures the memory of connections to peers. Both ends are in this process,
// which matches an entry daemon: it has one connection to and one from each peer.
func peerConnections(ctx context.Context, peers int) (Point, error) {
	nodes, err := newNodes(ctx, peers+1)
	defer func() {
		for _, n := range nodes {
			_ = n.close()
		}
	}()
	if err != nil {
		return Point{}, err
	}
	_, heap, err := heapKB(func() (int, error) {
		for _, n := range nodes[1:] {
			if err := nodes[0].exchange.Report(ctx, nodes[0].Messenger, n.Addr(), 0, 0); err != nil {
				return 0, err
			}
		}
		time.Sleep(100 * time.Millisecond)
		return 0, nil
	})
	return Point{HeapKB: heap}, err
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// pollTime is how long targets are polled. Each is polled once a second.
const pollTime = 4 * time.Second

// targetPolls measures one second of a dispatcher with idle targets: usage requests, health
// requests and the periodic update of its pools. CPU time includes that of the workers.
func targetPolls(ctx context.Context, targets int) (Point, error) {
	worker, err := emulator.NewWorker(emulator.WorkerConfig{Total: emulator.DefaultResources()})
	if err != nil {
		return Point{}, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Point{}, err
	}
	server, err := emulator.NewWorkerServer(worker, l, 2*targets)
	if err != nil {
		return Point{}, err
	}
	go func() { _ = server.Serve() }()
	defer func() { _ = server.Close() }()
	var bytes atomic.Int64
	d, heap, err := heapKB(func() (*dispatcher.Dispatcher, error) {
		d, err := pollingDispatcher(targets, func(ctx context.Context, network, _ string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, l.Addr().String())
			return countingConn{
				Conn:  c,
				bytes: &bytes,
			}, err
		})
		time.Sleep(2 * time.Second) // until all connections are open
		return d, err
	})
	if err != nil {
		return Point{}, err
	}
	defer d.Close()
	ctx, cancel := context.WithTimeout(ctx, pollTime)
	defer cancel()
	before, err := cpuTime()
	if err != nil {
		return Point{}, err
	}
	start := bytes.Load()
	if err := d.Run(ctx); err != nil {
		return Point{}, err
	}
	after, err := cpuTime()
	return Point{
		Bytes:           float64(bytes.Load()-start) / pollTime.Seconds(),
		CPUMicroseconds: float64((after - before).Microseconds()) / pollTime.Seconds(),
		HeapKB:          heap,
	}, err
}

func pollingDispatcher(targets int, dial func(ctx context.Context, network, address string) (net.Conn, error)) (*dispatcher.Dispatcher, error) {
	r, err := recorder.New()
	if err != nil {
		return nil, err
	}
	tree := &configurer.Tree{}
	d := dispatcher.New(dispatcher.Config{
		Entry:    "entry-0001",
		Tree:     func() *configurer.Tree { return tree },
		Holder:   limiter.NewHolder(limiter.HolderID{}, func() registrar.Lease { return registrar.Lease{} }),
		Recorder: r,
		Logger:   hclog.NewNullLogger(),
		Connect: func(address string) dispatcher.Target {
			return runner.NewClient(runner.ClientConfig{
				Address: address,
				Dial:    dial,
			})
		},
	})
	f := planner.Fleet{VMs: map[string]planner.VM{}}
	var list []lister.VM
	for i := range targets {
		name := fmt.Sprintf("vm-%06d", i)
		list = append(list, lister.VM{
			Name:    name,
			Address: "127.0.0.1:1",
			State:   lister.StateLive,
		})
		f.VMs[name] = planner.VM{
			Pool:  fmt.Sprintf("pool-%02d", i/40),
			State: planner.StateServing,
		}
	}
	d.SetTargets(list, f)
	return d, nil
}
