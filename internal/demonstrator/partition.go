package demonstrator

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Partition relays all traffic between entry daemons and between them and the platform.
// While a zone is cut off, it drops the datagrams between that zone and others and holds
// back the zone's TCP traffic to and from the platform.
type Partition struct {
	mu      sync.Mutex
	zones   map[string]string // of entry daemons by their peer listener
	cutOff  string            // zone
	closers []io.Closer
	conns   map[string][]net.Conn // to the platform by zone
	healed  chan struct{}         // closed when no zone is cut off
	wg      sync.WaitGroup
}

// NewPartition returns a Partition in which no zone is cut off.
func NewPartition() *Partition {
	healed := make(chan struct{})
	close(healed)
	return &Partition{
		zones:  map[string]string{},
		conns:  map[string][]net.Conn{},
		healed: healed,
	}
}

// Cut cuts a zone off from the platform and from the other zones.
func (p *Partition) Cut(zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutOff = zone
	p.healed = make(chan struct{})
}

// Heal reconnects the zone that is cut off and closes its TCP connections to the platform.
func (p *Partition) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns[p.cutOff] {
		_ = conn.Close()
	}
	p.conns[p.cutOff] = nil
	p.cutOff = ""
	close(p.healed)
}

// Close stops all relays and waits for their goroutines.
func (p *Partition) Close() {
	p.mu.Lock()
	for _, c := range p.closers {
		_ = c.Close()
	}
	for _, list := range p.conns {
		for _, conn := range list {
			_ = conn.Close()
		}
	}
	if p.cutOff != "" {
		p.cutOff = ""
		close(p.healed)
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// StartRelays starts the relays of an entry daemon and returns their addresses, for
// Config.Links.
func (p *Partition) StartRelays(e *EntryProcess, platform string) (Links, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Links{}, err
	}
	listener, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		_ = l.Close()
		return Links{}, err
	}
	target, err := net.ResolveUDPAddr("udp", e.PeerAddress)
	if err != nil {
		return Links{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zones[e.PeerAddress] = e.Zone
	p.closers = append(p.closers, l, listener)
	p.wg.Go(func() { p.relayTCP(l, e.Zone, platform) })
	p.wg.Go(func() { p.relayUDP(listener, e.Zone, target) })
	return Links{
		PlatformAddress: l.Addr().String(),
		PeerAddress:     listener.LocalAddr().String(),
	}, nil
}

// reachable returns a channel that is closed once a zone is connected to the platform.
func (p *Partition) reachable(zone string) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cutOff == zone {
		return p.healed
	}
	open := make(chan struct{})
	close(open)
	return open
}

func (p *Partition) relayTCP(l net.Listener, zone, target string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() {
			defer func() { _ = conn.Close() }()
			<-p.reachable(zone)
			upstream, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			defer func() { _ = upstream.Close() }()
			p.mu.Lock()
			p.conns[zone] = append(p.conns[zone], conn, upstream)
			p.mu.Unlock()
			p.wg.Go(func() { p.pipe(conn, upstream, zone) })
			p.pipe(upstream, conn, zone)
		})
	}
}

// pipe copies bytes from one connection to the other and pauses while the zone is cut off.
func (p *Partition) pipe(to, from net.Conn, zone string) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		<-p.reachable(zone)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// relayUDP forwards datagrams to an entry daemon. Their source address identifies the
// sender, because an entry daemon sends from the socket on which it listens.
func (p *Partition) relayUDP(listener net.PacketConn, zone string, target *net.UDPAddr) {
	flows := map[string]*net.UDPConn{}
	defer func() {
		for _, upstream := range flows {
			_ = upstream.Close()
		}
	}()
	buf := make([]byte, 64<<10)
	for {
		n, sender, err := listener.ReadFrom(buf)
		if err != nil {
			return
		}
		upstream := flows[sender.String()]
		if upstream == nil {
			if upstream, err = net.DialUDP("udp", nil, target); err != nil {
				continue
			}
			flows[sender.String()] = upstream
			p.wg.Go(func() { p.relayReplies(listener, upstream, sender, zone) })
		}
		if p.mayPass(sender.String(), zone) {
			_, _ = upstream.Write(buf[:n])
		}
	}
}

func (p *Partition) relayReplies(listener net.PacketConn, upstream *net.UDPConn, sender net.Addr, zone string) {
	buf := make([]byte, 64<<10)
	for {
		n, err := upstream.Read(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// The port is closed while the entry daemon restarts.
			time.Sleep(pollInterval)
			continue
		}
		if p.mayPass(sender.String(), zone) {
			_, _ = listener.WriteTo(buf[:n], sender)
		}
	}
}

// mayPass reports whether datagrams pass between the entry daemon that listens for peers
// at the address sender and an entry daemon in zone.
func (p *Partition) mayPass(sender, zone string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	from := p.zones[sender]
	return from == zone || (p.cutOff != from && p.cutOff != zone)
}
