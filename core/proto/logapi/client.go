// Package logapi is a client for the platform's services: the append-only log and the
// host list.
package logapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/stream"
	"cicadastand.dev/core/trans/httpc"
)

// RecordBody is the JSON encoding of a record.
type RecordBody struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// ReadBody is the response body of a read.
type ReadBody struct {
	Records []RecordBody `json:"records"`
	Next    uint64       `json:"next"`
}

// AppendBody is the response body of an append.
type AppendBody struct {
	Offset uint64 `json:"offset"`
}

// ErrorBody is the response body of a failed call.
type ErrorBody struct {
	Message string `json:"message"`
	// First is the oldest offset in the log; it is set if the requested one was trimmed.
	First uint64 `json:"first,omitempty"`
}

// HostState is the state of a host on the platform's list.
type HostState string

// The states of a host on the platform's list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the platform's list of hosts.
type Host struct {
	Name          string         `json:"name"`
	FailureDomain string         `json:"failure-domain"`
	Address       netip.AddrPort `json:"address"`
	State         HostState      `json:"state"`
}

// HostsBody is the platform's list of hosts. It is updated with a delay.
type HostsBody struct {
	Hosts []Host `json:"hosts"`
}

// ErrStatus reports an error status in a response of the platform.
type ErrStatus struct {
	Status  int
	Message string
}

// Error includes the status and the platform's message.
func (e *ErrStatus) Error() string {
	return fmt.Sprintf("platform answered %d: %s", e.Status, e.Message)
}

// IsErrStatus reports whether err holds an ErrStatus.
func IsErrStatus(err error) bool {
	var target *ErrStatus
	return errors.As(err, &target)
}

// Config configures a client.
type Config struct {
	Clock   clock.Service
	Address netip.AddrPort
	// Timeout limits the time to the head of a response, and the time in which its body brings
	// progressBytes more. The wait time that a call requests is added to it.
	Timeout time.Duration
	// Dial opens connections; nil selects the default dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls the services of the platform.
type Client struct {
	cfg  Config
	http *http.Client
}

const (
	readLimit       = 512
	maxResponseSize = 64 << 20
	idleConns       = 8
	// progressBytes is far less than a slow link carries in the time limit of a call. Operators
	// decide how large the records are.
	progressBytes = 64 << 10
)

// New returns a client.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, http: httpc.New(httpc.Config{Dial: cfg.Dial, MaxIdlePerHost: idleConns})}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Append adds a record and returns its offset. After an error other than ErrStatus the
// record may have been added nevertheless.
func (c *Client) Append(ctx context.Context, name string, data []byte) (uint64, error) {
	var out AppendBody
	err := c.call(ctx, http.MethodPost, "/v1/streams/"+url.PathEscape(name)+"/records", data, 0, &out)
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w", name, err)
	}
	return out.Offset, nil
}

// Read returns the records starting at an offset. It waits up to the given time for the
// first one.
func (c *Client) Read(ctx context.Context, name string, from uint64, wait time.Duration) (stream.Batch, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("limit", strconv.Itoa(readLimit))
	query.Set("wait-ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var out ReadBody
	path := "/v1/streams/" + url.PathEscape(name) + "/records?" + query.Encode()
	if err := c.call(ctx, http.MethodGet, path, nil, wait, &out); err != nil {
		return stream.Batch{}, fmt.Errorf("read %s: %w", name, err)
	}
	batch := stream.Batch{Next: out.Next}
	for _, r := range out.Records {
		batch.Records = append(batch.Records, stream.Record(r))
	}
	return batch, nil
}

// Hosts returns the platform's list of hosts.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var out HostsBody
	if err := c.call(ctx, http.MethodGet, "/v1/hosts", nil, 0, &out); err != nil {
		return nil, fmt.Errorf("list hosts: %w", err)
	}
	return out.Hosts, nil
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, wait time.Duration, out any) error {
	ctx, deadline := clock.WithDeadline(ctx, c.cfg.Clock, c.cfg.Timeout+wait)
	defer deadline.Stop()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.cfg.Address.String()+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := httpc.ReadBody(resp.Body, maxResponseSize, deadline, httpc.Progress{Bytes: progressBytes, Interval: c.cfg.Timeout})
	if err != nil {
		return fmt.Errorf("read reply: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(resp.StatusCode, raw)
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return fmt.Errorf("decode reply: %w", err)
	}
	return nil
}

func statusError(status int, raw []byte) error {
	var body ErrorBody
	_ = json.Unmarshal(raw, &body)
	if status == http.StatusGone {
		return &stream.ErrTrimmed{First: body.First}
	}
	return &ErrStatus{Status: status, Message: body.Message}
}
