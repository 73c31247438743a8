// Package certs builds TLS configurations whose key pairs are read again when
// their files change, so that keys are renewed without a restart.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"cicadastand.dev/router/prefs"
)

// Pair is a key pair and an authority that follow their files.
type Pair struct {
	files   prefs.TLS
	mu      sync.Mutex
	modTime time.Time
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// New reads the files once.
func New(files prefs.TLS) (*Pair, error) {
	p := &Pair{files: files}
	if err := p.refresh(); err != nil {
		return nil, err
	}
	return p, nil
}

// Server returns the configuration of a server. With an authority, callers must
// show a certificate that it signed.
func (p *Pair) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := p.current()
			cfg := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}, NextProtos: []string{"h2", "http/1.1"}}
			if pool != nil {
				cfg.ClientAuth = tls.RequireAndVerifyClientCert
				cfg.ClientCAs = pool
			}
			return cfg, nil
		},
	}
}

// Client returns the configuration of a client that shows the certificate and
// trusts the authority alone. A new authority takes a restart.
func (p *Pair) Client() *tls.Config {
	_, pool := p.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := p.current()
			return cert, nil
		},
	}
}

// current returns the newest pair that could be read.
func (p *Pair) current() (*tls.Certificate, *x509.CertPool) {
	_ = p.refresh()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cert, p.pool
}

// refresh reads the files if the certificate's file has changed. After an error
// the earlier pair stays in force.
func (p *Pair) refresh() error {
	info, err := os.Stat(p.files.Certificate)
	if err != nil {
		return fmt.Errorf("look at certificate: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cert != nil && info.ModTime().Equal(p.modTime) {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(p.files.Certificate, p.files.Key)
	if err != nil {
		return fmt.Errorf("read key pair: %w", err)
	}
	pool, err := readPool(p.files.Authority)
	if err != nil {
		return err
	}
	p.cert, p.pool, p.modTime = &cert, pool, info.ModTime()
	return nil
}

func readPool(path string) (*x509.CertPool, error) {
	if path == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s holds no certificate", path)
	}
	return pool, nil
}
