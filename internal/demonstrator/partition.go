package demonstrator

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Partition carries all packets between entry daemons and between them and the
// platform, and drops those that cross the border of a zone that is cut off.
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

// Heal ends the cut. Connections through it are reset.
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

// Close ends all relays.
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

// Links puts the relays before an entry daemon; it serves as Config.Links.
func (p *Partition) Links(e *EntryProcess, platform string) (Links, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Links{}, err
	}
	front, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		_ = l.Close()
		return Links{}, err
	}
	target, err := net.ResolveUDPAddr("udp", e.Peers)
	if err != nil {
		return Links{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zones[e.Peers] = e.Zone
	p.closers = append(p.closers, l, front)
	p.wg.Go(func() { p.relayTCP(l, e.Zone, platform) })
	p.wg.Go(func() { p.relayUDP(front, e.Zone, target) })
	return Links{
		Platform: l.Addr().String(),
		Peers:    front.LocalAddr().String(),
	}, nil
}

// passage returns a channel that is closed when packets of a zone to the platform pass.
func (p *Partition) passage(zone string) <-chan struct{} {
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
			<-p.passage(zone)
			back, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			defer func() { _ = back.Close() }()
			p.mu.Lock()
			p.conns[zone] = append(p.conns[zone], conn, back)
			p.mu.Unlock()
			p.wg.Go(func() { p.pipe(conn, back, zone) })
			p.pipe(back, conn, zone)
		})
	}
}

// pipe copies bytes from one connection to the other and stops while the zone is cut off.
func (p *Partition) pipe(to, from net.Conn, zone string) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		<-p.passage(zone)
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

// relayUDP forwards datagrams to an entry daemon. The source port tells the sender,
// because an entry daemon sends from the socket on which it listens.
func (p *Partition) relayUDP(front net.PacketConn, zone string, target *net.UDPAddr) {
	flows := map[string]*net.UDPConn{}
	defer func() {
		for _, back := range flows {
			_ = back.Close()
		}
	}()
	buf := make([]byte, 64<<10)
	for {
		n, sender, err := front.ReadFrom(buf)
		if err != nil {
			return
		}
		back := flows[sender.String()]
		if back == nil {
			if back, err = net.DialUDP("udp", nil, target); err != nil {
				continue
			}
			flows[sender.String()] = back
			p.wg.Go(func() { p.returnUDP(front, back, sender, zone) })
		}
		if p.passes(sender.String(), zone) {
			_, _ = back.Write(buf[:n])
		}
	}
}

func (p *Partition) returnUDP(front net.PacketConn, back *net.UDPConn, sender net.Addr, zone string) {
	buf := make([]byte, 64<<10)
	for {
		n, err := back.Read(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// The port is closed while the entry daemon restarts.
			time.Sleep(pollInterval)
			continue
		}
		if p.passes(sender.String(), zone) {
			_, _ = front.WriteTo(buf[:n], sender)
		}
	}
}

func (p *Partition) passes(sender, zone string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	from := p.zones[sender]
	return from == zone || (p.cutOff != from && p.cutOff != zone)
}
