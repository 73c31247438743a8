package cli

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"
)

const (
	keyVariable      = "CICADA_OPERATOR_KEY"
	maxResponseBytes = 64 << 20
)

// ErrStatus is a response of the router with an error status.
type ErrStatus struct {
	Status int
	Detail string
}

// Error returns the status and the router's error text.
func (e *ErrStatus) Error() string {
	return fmt.Sprintf("the router answered %d: %s", e.Status, e.Detail)
}

// OutcomeUnknown reports whether it is unknown if the change was published.
func (e *ErrStatus) OutcomeUnknown() bool { return e.Status == http.StatusGatewayTimeout }

// client calls the operators' interface of a router.
type client struct {
	base string
	key  string
	http *http.Client
}

func newClient(router netip.AddrPort, keyFile, authority string) (*client, error) {
	key := os.Getenv(keyVariable)
	if keyFile != "" {
		raw, err := os.ReadFile(keyFile)
		if err != nil {
			return nil, fmt.Errorf("read key: %w", err)
		}
		key = strings.TrimSpace(string(raw))
	}
	c := &client{base: "http://" + router.String(), key: key, http: &http.Client{}}
	if authority == "" {
		return c, nil
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s holds no certificate", authority)
	}
	c.base = "https://" + router.String()
	c.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return c, nil
}

func (c *client) get(ctx context.Context, path string, query url.Values, into any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return c.call(ctx, http.MethodGet, path, nil, into)
}

func (c *client) post(ctx context.Context, path string, body, into any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	return c.call(ctx, http.MethodPost, path, raw, into)
}

func (c *client) call(ctx context.Context, method, path string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("call router: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return &ErrStatus{Status: resp.StatusCode, Detail: detail(raw)}
	}
	if into == nil || len(raw) == 0 {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

// detail returns the text of an error response.
func detail(raw []byte) string {
	var problem struct {
		Detail string `json:"detail"`
		Errors []struct {
			Message  string `json:"message"`
			Location string `json:"location"`
		} `json:"errors"`
	}
	if err := json.Unmarshal(raw, &problem); err != nil || problem.Detail == "" {
		return strings.TrimSpace(string(raw))
	}
	out := problem.Detail
	for _, e := range problem.Errors {
		out += fmt.Sprintf("; %s: %s", e.Location, e.Message)
	}
	return out
}
