package suite

import (
	"io"
	"net"
	"net/netip"
	"sync"
)

// partitionTable holds the network partitions: the pairs of processes of which the
// first can't reach the second.
type partitionTable struct {
	mu         sync.Mutex
	partitions map[[2]string]bool
	// names maps the source addresses of connections to the names of processes.
	names map[netip.Addr]string
}

func newPartitionTable() *partitionTable {
	return &partitionTable{partitions: make(map[[2]string]bool), names: make(map[netip.Addr]string)}
}

func (c *partitionTable) set(from, to string, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitions[[2]string{from, to}] = partitioned
}

// setName records the name of the process that connects from an address.
func (c *partitionTable) setName(addr netip.Addr, process string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.names[addr] = process
}

func (c *partitionTable) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.partitions)
}

func (c *partitionTable) isPartitioned(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partitions[[2]string{from, to}]
}

func (c *partitionTable) nameOf(addr net.Addr) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	ap, _ := netip.ParseAddrPort(addr.String())
	return c.names[ap.Addr()]
}

// tcpProxy forwards connections to a process. During a partition it discards the data
// in both directions and keeps the connection open, as a network that drops packets
// does. Connections are closed when the partition is healed.
type tcpProxy struct {
	name       string
	target     netip.AddrPort
	listener   net.Listener
	partitions *partitionTable
	mu         sync.Mutex
	conns      map[net.Conn]struct{}
	done       sync.WaitGroup
}

func newTCPProxy(name string, listen, target netip.AddrPort, partitions *partitionTable) (*tcpProxy, error) {
	l, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, err
	}
	r := &tcpProxy{name: name, target: target, listener: l, partitions: partitions, conns: make(map[net.Conn]struct{})}
	r.done.Add(1)
	go r.run()
	return r, nil
}

func (r *tcpProxy) run() {
	defer r.done.Done()
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		from := r.partitions.nameOf(conn.RemoteAddr())
		r.done.Add(1)
		p := &proxyConn{proxy: r, from: from, client: conn}
		go p.run()
	}
}

func (r *tcpProxy) track(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = struct{}{}
}

func (r *tcpProxy) untrack(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	_ = c.Close()
}

// reset closes all connections, since those that lost data in a partition must not be
// used again.
func (r *tcpProxy) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *tcpProxy) close() {
	_ = r.listener.Close()
	r.reset()
	r.done.Wait()
}

// proxyConn is a connection to the proxy and the one to the target that belongs to it.
type proxyConn struct {
	proxy  *tcpProxy
	from   string
	client net.Conn
	server net.Conn
}

func (p *proxyConn) run() {
	defer p.proxy.done.Done()
	p.proxy.track(p.client)
	defer p.proxy.untrack(p.client)
	if p.proxy.partitions.isPartitioned(p.from, p.proxy.name) {
		_, _ = io.Copy(io.Discard, p.client)
		return
	}
	server, err := net.Dial("tcp", p.proxy.target.String())
	if err != nil {
		return
	}
	p.server = server
	p.proxy.track(server)
	defer p.proxy.untrack(server)
	copied := make(chan struct{})
	h := &copier{p: p, from: server, to: p.client, done: copied}
	go h.run()
	(&copier{p: p, from: p.client, to: server, done: make(chan struct{})}).run()
	_ = server.Close()
	<-copied
}

// copier forwards the data of one direction of a proxyConn.
type copier struct {
	p        *proxyConn
	from, to net.Conn
	done     chan struct{}
}

func (h *copier) run() {
	defer close(h.done)
	buf := make([]byte, 32<<10)
	for {
		n, err := h.from.Read(buf)
		if n > 0 && !h.p.proxy.partitions.isPartitioned(h.p.from, h.p.proxy.name) {
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
