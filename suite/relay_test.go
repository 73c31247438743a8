package suite

import (
	"io"
	"net"
	"net/netip"
	"sync"
)

// cutTable says which sources can't reach which targets.
type cutTable struct {
	mu   sync.Mutex
	cuts map[[2]string]bool
	// names gives the name of the process that connects from an address.
	names map[netip.Addr]string
}

func newCutTable() *cutTable {
	return &cutTable{cuts: make(map[[2]string]bool), names: make(map[netip.Addr]string)}
}

func (c *cutTable) set(from, to string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cuts[[2]string{from, to}] = cut
}

// name says which process connects from an address.
func (c *cutTable) name(addr netip.Addr, process string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.names[addr] = process
}

func (c *cutTable) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.cuts)
}

func (c *cutTable) isCut(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cuts[[2]string{from, to}]
}

func (c *cutTable) nameOf(addr net.Addr) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	ap, _ := netip.ParseAddrPort(addr.String())
	return c.names[ap.Addr()]
}

// relay passes connections on to a target, and swallows what a cut would lose:
// bytes on a cut connection go nowhere and no end is signalled until it heals.
type relay struct {
	name     string
	target   netip.AddrPort
	listener net.Listener
	cuts     *cutTable
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	done     sync.WaitGroup
}

func newRelay(name string, listen, target netip.AddrPort, cuts *cutTable) (*relay, error) {
	l, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, err
	}
	r := &relay{name: name, target: target, listener: l, cuts: cuts, conns: make(map[net.Conn]struct{})}
	r.done.Add(1)
	go r.run()
	return r, nil
}

func (r *relay) run() {
	defer r.done.Done()
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		from := r.cuts.nameOf(conn.RemoteAddr())
		r.done.Add(1)
		p := &pipe{relay: r, from: from, client: conn}
		go p.run()
	}
}

func (r *relay) track(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = struct{}{}
}

func (r *relay) untrack(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	_ = c.Close()
}

// reset drops all connections, as the end of a cut does for those that lost bytes.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.reset()
	r.done.Wait()
}

// pipe is one relayed connection.
type pipe struct {
	relay  *relay
	from   string
	client net.Conn
	server net.Conn
}

func (p *pipe) run() {
	defer p.relay.done.Done()
	p.relay.track(p.client)
	defer p.relay.untrack(p.client)
	if p.relay.cuts.isCut(p.from, p.relay.name) {
		_, _ = io.Copy(io.Discard, p.client)
		return
	}
	server, err := net.Dial("tcp", p.relay.target.String())
	if err != nil {
		return
	}
	p.server = server
	p.relay.track(server)
	defer p.relay.untrack(server)
	back := make(chan struct{})
	h := &half{p: p, from: server, to: p.client, done: back}
	go h.run()
	(&half{p: p, from: p.client, to: server, done: make(chan struct{})}).run()
	_ = server.Close()
	<-back
}

// half copies one direction of a pipe.
type half struct {
	p        *pipe
	from, to net.Conn
	done     chan struct{}
}

func (h *half) run() {
	defer close(h.done)
	buf := make([]byte, 32<<10)
	for {
		n, err := h.from.Read(buf)
		if n > 0 && !h.p.relay.cuts.isCut(h.p.from, h.p.relay.name) {
			if _, werr := h.to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = h.to.Close()
			return
		}
	}
}
