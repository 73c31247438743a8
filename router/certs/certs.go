// Package certs builds TLS configurations that reload their key pair when its files
// change, so that certificates can be renewed without a restart.
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

// Pair is a key pair and the certificates of an authority, reloaded when their files
// change.
type Pair struct {
	files prefs.TLS
	mu    sync.Mutex
	// modTime is the modification time of the certificate file that was loaded.
	modTime time.Time
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// New loads the files.
func New(files prefs.TLS) (*Pair, error) {
	p := &Pair{files: files}
	if err := p.refresh(); err != nil {
		return nil, err
	}
	return p, nil
}

// Server returns the configuration for a server. If an authority is configured, clients
// must present a certificate that it signed.
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

// Client returns the configuration for a client that presents the certificate and trusts
// only the authority. A new authority requires a restart.
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

// current returns the last key pair and pool that could be loaded.
func (p *Pair) current() (*tls.Certificate, *x509.CertPool) {
	_ = p.refresh()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cert, p.pool
}

// refresh loads the files if the certificate file has changed. After an error the
// previous pair remains in use.
func (p *Pair) refresh() error {
	info, err := os.Stat(p.files.Certificate)
	if err != nil {
		return fmt.Errorf("stat certificate: %w", err)
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

// readPool returns nil if no authority is configured.
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
		return nil, fmt.Errorf("%s contains no certificate", path)
	}
	return pool, nil
}
