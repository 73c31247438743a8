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

func (t *partitionTable) set(from, to string, partitioned bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.partitions[[2]string{from, to}] = partitioned
}

// setName records the name of the process that connects from an address.
func (t *partitionTable) setName(addr netip.Addr, process string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.names[addr] = process
}

func (t *partitionTable) clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.partitions)
}

func (t *partitionTable) isPartitioned(from, to string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.partitions[[2]string{from, to}]
}

func (t *partitionTable) nameOf(addr net.Addr) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	ap, _ := netip.ParseAddrPort(addr.String())
	return t.names[ap.Addr()]
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
	p := &tcpProxy{name: name, target: target, listener: l, partitions: partitions, conns: make(map[net.Conn]struct{})}
	p.done.Add(1)
	go p.run()
	return p, nil
}

func (p *tcpProxy) run() {
	defer p.done.Done()
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		from := p.partitions.nameOf(conn.RemoteAddr())
		p.done.Add(1)
		pc := &proxyConn{proxy: p, from: from, client: conn}
		go pc.run()
	}
}

func (p *tcpProxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

func (p *tcpProxy) untrack(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

// reset closes all connections, since those that lost data in a partition must not be
// used again.
func (p *tcpProxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *tcpProxy) close() {
	_ = p.listener.Close()
	p.reset()
	p.done.Wait()
}

// proxyConn is a connection of a client to the proxy, together with the proxy's
// connection to the target.
type proxyConn struct {
	proxy  *tcpProxy
	from   string
	client net.Conn
	server net.Conn
}

func (c *proxyConn) run() {
	defer c.proxy.done.Done()
	c.proxy.track(c.client)
	defer c.proxy.untrack(c.client)
	if c.proxy.partitions.isPartitioned(c.from, c.proxy.name) {
		_, _ = io.Copy(io.Discard, c.client)
		return
	}
	server, err := net.Dial("tcp", c.proxy.target.String())
	if err != nil {
		return
	}
	c.server = server
	c.proxy.track(server)
	defer c.proxy.untrack(server)
	copied := make(chan struct{})
	responses := &copier{conn: c, from: server, to: c.client, done: copied}
	go responses.run()
	(&copier{conn: c, from: c.client, to: server, done: make(chan struct{})}).run()
	_ = server.Close()
	<-copied
}

// copier forwards the data of one direction of a proxyConn.
type copier struct {
	conn     *proxyConn
	from, to net.Conn
	done     chan struct{}
}

func (c *copier) run() {
	defer close(c.done)
	buf := make([]byte, 32<<10)
	for {
		n, err := c.from.Read(buf)
		if n > 0 && !c.conn.proxy.partitions.isPartitioned(c.conn.from, c.conn.proxy.name) {
			if _, werr := c.to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = c.to.Close()
			return
		}
	}
}
