package suite

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/proto/openai"
)

// TestMalformedInput checks the status of the response to each kind of malformed
// request, and that the response names the field that is wrong.
func TestMalformedInput(t *testing.T) {
	c, err := newCluster(t.TempDir(), clusterOptions{Engines: 1, Routers: 1, Domains: 1, Services: 1, RouterYAML: "# small\n"})
	if err != nil {
		t.Fatal(err)
	}
	defer c.close()
	const chat, orders = "/v1/chat/completions", "/v1/services/shop/orders"
	good := `{"model":"advice","messages":[{"role":"user","content":"x"}]}`
	key := "0190a0a0-0000-7000-8000-000000000000"
	for _, tc := range []struct {
		name, path, body, header, value string
		status                          int
		param                           string
	}{
		{"not json", chat, `{`, "", "", 400, "body"},
		{"no model", chat, `{"messages":[{"role":"user","content":"x"}]}`, "", "", 400, "model"},
		{"no messages", chat, `{"model":"advice"}`, "", "", 400, "messages"},
		{"wrong type", chat, `{"model":"advice","messages":"x"}`, "", "", 400, "messages"},
		{"no role", chat, `{"model":"advice","messages":[{"content":"x"}]}`, "", "", 400, "messages[0]"},
		{"image", chat, `{"model":"advice","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, "", "", 400, "messages[0]"},
		{"too many tokens", chat, `{"model":"advice","messages":[{"role":"user","content":"x"}],"max_tokens":9999999}`, "", "", 400, "max_tokens"},
		{"several choices", chat, `{"model":"advice","messages":[{"role":"user","content":"x"}],"n":2}`, "", "", 400, "n"},
		{"no prompt", "/v1/completions", `{"model":"advice"}`, "", "", 400, "prompt"},
		{"unknown model", chat, strings.Replace(good, "advice", "other", 1), "", "", 404, "model"},
		{"unknown rank", chat, good, "Cicada-Rank", "slow", 400, "Cicada-Rank"},
		{"bad deadline", chat, good, "Cicada-Deadline", "soon", 400, "Cicada-Deadline"},
		{"bad resume", chat, good, "Last-Event-ID", "x", 400, "Last-Event-ID"},
		{"wrong key", chat, good, "Authorization", "Bearer nonsense", 401, ""},
		{"no key", chat, good, "Authorization", "", 401, ""},
		{"unknown path", "/v2/nonsense", good, "", "", 404, ""},
		{"unknown service", "/v1/services/bank/x", "", "", "", 404, ""},
		{"order without key", orders, "{}", "", "", 400, "Idempotency-Key"},
		{"key without creation time", orders, "{}", "Idempotency-Key", "k1", 400, "Idempotency-Key"},
		{"expired key", orders, "{}", "Idempotency-Key", key, 410, ""},
		{"too large", chat, strings.Repeat("x", 5<<20), "", "", 413, ""},
		{"large header", chat, good, "X-Large", strings.Repeat("x", 64<<10), 431, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			req, err := http.NewRequest(http.MethodPost, "http://"+c.callers["r1"].String()+tc.path, strings.NewReader(tc.body))
			is.NoErr(err)
			req.Header.Set("Authorization", "Bearer "+callerKey("small"))
			if tc.header != "" {
				req.Header.Set(tc.header, tc.value)
			}
			resp, err := c.http.Do(req)
			is.NoErr(err)
			defer func() { _ = resp.Body.Close() }()
			is.Equal(resp.StatusCode, tc.status)
			if tc.status == http.StatusRequestHeaderFieldsTooLarge {
				return // the HTTP server of the standard library writes this response
			}
			var body openai.ErrorBody
			is.NoErr(json.NewDecoder(resp.Body).Decode(&body))
			is.Equal(body.Error.Param, tc.param)
			is.True(body.Error.Code != "")
			is.True(body.Error.RunState != "")
		})
	}
}

// TestSlowCaller checks that a router closes the connection of a caller that stops in
// the middle of a request body, once the read time-out is over. Slow callers must not
// hold connections that others need.
func TestSlowCaller(t *testing.T) {
	is := is.New(t)
	c, err := newCluster(t.TempDir(), clusterOptions{Engines: 1, Routers: 1, Domains: 1, Services: 1})
	is.NoErr(err)
	defer c.close()
	c.setReadTimeout(t)
	is.NoErr(c.stop("r1"))
	is.NoErr(c.start("r1"))
	conn, err := net.Dial("tcp", c.callers["r1"].String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Second)))
	_, err = io.ReadAll(conn) // fails if this deadline ends the connection instead of the router
	is.NoErr(err)
}

func (c *cluster) setReadTimeout(t *testing.T) {
	raw, err := os.ReadFile(c.settingsPath("r1"))
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(raw), "callers: {", "callers: {read-timeout: 500ms, ", 1)
	if err := os.WriteFile(c.settingsPath("r1"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// authority signs certificates for a test.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T, dir string) *authority {
	a := &authority{t: t, dir: dir}
	a.cert, a.key = a.sign("authority", nil)
	return a
}

// sign writes NAME.pem and NAME.key and returns the certificate and its key. The first
// certificate is self-signed.
func (a *authority) sign(name string, ip net.IP) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: a.cert == nil, BasicConstraintsValid: true, IPAddresses: []net.IP{ip},
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if ip == nil {
		template.IPAddresses = nil
	}
	parent, signer := template, key
	if a.cert != nil {
		parent, signer = a.cert, a.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(name+".pem", "CERTIFICATE", der)
	a.write(name+".key", "EC PRIVATE KEY", keyDER)
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return cert, key
}

func (a *authority) path(name string) string { return filepath.Join(a.dir, name) }

func (a *authority) write(name, kind string, der []byte) {
	if err := os.WriteFile(a.path(name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// TestTLS runs two hosts that use TLS for callers and mutual TLS between each other.
// It checks that a renewed certificate is used without a restart, and that a peer
// whose certificate is signed by another authority is rejected.
func TestTLS(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	a := newAuthority(t, dir)
	c, err := newCluster(dir, clusterOptions{Engines: 1, Routers: 2, Domains: 1, Services: 1})
	is.NoErr(err)
	defer c.close()
	for _, r := range c.routerNames() {
		a.sign(r, c.direct[r].Addr().AsSlice())
		c.enableTLS(t, a, r)
		is.NoErr(c.stop(r))
	}
	for _, r := range c.routerNames() {
		is.NoErr(c.start(r))
	}
	is.NoErr(c.eventually(10*time.Second, func() error {
		d, err := c.dump("r1")
		if err != nil || len(d.Hosts) != 2 || d.Hosts[1].LastContact.IsZero() {
			return fmt.Errorf("r1 has no contact with r2: %v", err)
		}
		return nil
	}))
	serial := serverSerial(t, a, c)
	time.Sleep(20 * time.Millisecond) // the new certificate file needs a different modification time
	a.sign("r1", c.direct["r1"].Addr().AsSlice())
	is.True(serverSerial(t, a, c).Cmp(serial) != 0) // the new certificate is used without a restart

	otherAuthority := newAuthority(t, t.TempDir())
	otherAuthority.sign("x", net.IPv4(127, 0, 0, 1))
	cert, err := tls.LoadX509KeyPair(otherAuthority.path("x.pem"), otherAuthority.path("x.key"))
	is.NoErr(err)
	conn, err := tls.Dial("tcp", c.direct["r1"].String(), &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{cert}, NextProtos: []string{"h2"}})
	if err == nil { // in TLS 1.3 the client sees the rejection at its first read
		is.NoErr(conn.SetReadDeadline(time.Now().Add(10 * time.Second)))
		_, err = conn.Read(make([]byte, 1))
		_ = conn.Close()
	}
	is.True(err != nil && !os.IsTimeout(err))
}

func (c *cluster) enableTLS(t *testing.T, a *authority, r string) {
	raw, err := os.ReadFile(c.settingsPath(r))
	if err != nil {
		t.Fatal(err)
	}
	files := fmt.Sprintf("certificate: %q, key: %q", a.path(r+".pem"), a.path(r+".key"))
	text := strings.Replace(string(raw), "callers: {", "callers: {tls: {"+files+"}, ", 1)
	text = strings.Replace(text, "peers: {", fmt.Sprintf("peers: {tls: {%s, authority: %q}, ", files, a.path("authority.pem")), 1)
	// Hosts connect to each other without the proxies, since a certificate is valid
	// only for the address it contains.
	for _, other := range c.routerNames() {
		text = strings.ReplaceAll(text, c.proxyAddress(other).String(), c.direct[other].String())
	}
	if err := os.WriteFile(c.settingsPath(r), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// serverSerial sends a request to r1 and returns the serial number of the certificate
// that r1 presents.
func serverSerial(t *testing.T, a *authority, c *cluster) *big.Int {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{RootCAs: pool}}}
	req, err := http.NewRequest(http.MethodGet, "https://"+c.callers["r1"].String()+"/v1/models", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+callerKey("small"))
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("r1 returned status %d", resp.StatusCode)
	}
	return resp.TLS.PeerCertificates[0].SerialNumber
}
