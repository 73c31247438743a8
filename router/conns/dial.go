package conns

import (
	"bufio"
	"context"
	"fmt"
	"net"

	"cicadastand.dev/core/state/clock"
)

func (p *Pool) open(ctx context.Context, to Target) (*clientConn, error) {
	conn, err := p.dial(ctx, to)
	if err != nil {
		return nil, err
	}
	head := &headLimiter{conn: conn}
	return &clientConn{conn: conn, head: head, reader: bufio.NewReaderSize(head, readBuffer), target: to}, nil
}

func (p *Pool) dial(ctx context.Context, to Target) (net.Conn, error) {
	ctx, cancel := clock.WithTimeout(ctx, p.cfg.Clock, p.cfg.DialTimeout)
	defer cancel()
	conn, err := p.cfg.Dial(ctx, "tcp", to.Address.String())
	if err != nil {
		return nil, fmt.Errorf("open channel to %s: %w", to.Address, err)
	}
	p.opened.Add(1)
	return conn, nil
}

// Probe opens a new connection and closes it. It returns an error if the target does not
// accept one.
func (p *Pool) Probe(ctx context.Context, to Target) error {
	conn, err := p.dial(ctx, to)
	if err != nil {
		return err
	}
	_ = conn.Close()
	return nil
}
