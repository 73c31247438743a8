package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pmezard/go-difflib/difflib"

	"cicadastand.dev/core/coord/health"
	"cicadastand.dev/core/coord/member"
	"cicadastand.dev/core/state/conf"
	"cicadastand.dev/core/state/fleet"
	"cicadastand.dev/core/state/usage"
)

// ErrRejected is the error of a change that was not accepted.
type ErrRejected struct{ Verdict conf.Verdict }

// Error returns the outcome, the reason and the version in force.
func (e *ErrRejected) Error() string {
	return fmt.Sprintf("the change is %s: %s (version in force: %d)", e.Verdict.Outcome, e.Verdict.Reason, e.Verdict.Version)
}

// changeBody is the request body of a change in the operators' interface.
type changeBody struct {
	Document string `json:"document"`
	Base     uint64 `json:"base"`
	Text     string `json:"text,omitempty"`
	Remove   bool   `json:"remove,omitempty"`
}

// readDocument reads a file and determines from its text which document it holds.
func readDocument(path string) (name, text string, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", "", fmt.Errorf("read document: %w", err)
	}
	text = string(raw)
	if !strings.Contains("\n"+text, "\naccount:") {
		_, err := fleet.ParseFleet(text)
		return conf.FleetDocument, text, err
	}
	c, err := fleet.ParseContract(text)
	if err != nil {
		return "", "", err
	}
	return conf.ContractDocument(c.Account), text, nil
}

// asRejection turns a validation error found before sending into ErrRejected, so that it
// has the same exit code as a rejection by the router.
func asRejection(path string, err error) error {
	if fleet.IsErrInvalid(err) {
		return &ErrRejected{Verdict: conf.Verdict{Document: path, Outcome: conf.Invalid, Reason: err.Error()}}
	}
	return err
}

func validate(ctx context.Context, c *command) error {
	path, err := c.oneArg("the file")
	if err != nil {
		return err
	}
	name, text, err := readDocument(path)
	if err != nil {
		return asRejection(path, err)
	}
	base, err := c.versionOf(ctx, name)
	if err != nil {
		return err
	}
	v, err := c.post(ctx, "/v1/changes/check", changeBody{Document: name, Base: base, Text: text})
	if err != nil {
		return err
	}
	return c.printVerdict(v, "valid, version in force is %d\n", v.Version)
}

func (c *command) versionOf(ctx context.Context, name string) (uint64, error) {
	var doc conf.Document
	err := c.client.get(ctx, "/v1/document", url.Values{"name": {name}}, &doc)
	var status *ErrStatus
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return 0, nil
	}
	return doc.Version, err
}

func publish(ctx context.Context, c *command) error {
	base, err := c.baseFlag("publish")
	if err != nil {
		return err
	}
	path, err := c.oneArg("the file")
	if err != nil {
		return err
	}
	name, text, err := readDocument(path)
	if err != nil {
		return asRejection(path, err)
	}
	v, err := c.post(ctx, "/v1/changes", changeBody{Document: name, Base: base, Text: text})
	if err != nil {
		return err
	}
	return c.printVerdict(v, "%s is at version %d\n", v.Document, v.Version)
}

func remove(ctx context.Context, c *command) error {
	base, err := c.baseFlag("remove")
	if err != nil {
		return err
	}
	name, err := c.oneArg("the document's name")
	if err != nil {
		return err
	}
	v, err := c.post(ctx, "/v1/changes", changeBody{Document: name, Base: base, Remove: true})
	if err != nil {
		return err
	}
	return c.printVerdict(v, "%s is removed\n", v.Document)
}

// post sends a change and returns the verdict on it.
func (c *command) post(ctx context.Context, path string, change changeBody) (conf.Verdict, error) {
	var v conf.Verdict
	err := c.client.post(ctx, path, change, &v)
	return v, err
}

// printVerdict prints the verdict on a change. It returns ErrRejected unless the change
// was accepted.
func (c *command) printVerdict(v conf.Verdict, format string, args ...any) error {
	if c.json {
		if err := c.printJSON(v); err != nil {
			return err
		}
	}
	if v.Outcome != conf.Accepted {
		return &ErrRejected{Verdict: v}
	}
	if c.json {
		return nil
	}
	return c.printf(format, args...)
}

// show sends a GET request and prints the response body, as JSON or with print.
func (c *command) show(ctx context.Context, path string, query url.Values, body any, print func() error) error {
	if err := c.client.get(ctx, path, query, body); err != nil {
		return err
	}
	if c.json {
		return c.printJSON(body)
	}
	return print()
}

func list(ctx context.Context, c *command) error {
	var body struct {
		Offset    uint64 `json:"offset"`
		Documents []struct {
			Name    string    `json:"name"`
			Version uint64    `json:"version"`
			Author  string    `json:"author"`
			Time    time.Time `json:"time"`
		} `json:"documents"`
	}
	return c.show(ctx, "/v1/documents", nil, &body, func() error {
		t := newTable("DOCUMENT", "VERSION", "AUTHOR", "TIME")
		for _, d := range body.Documents {
			t.row(d.Name, d.Version, d.Author, d.Time.Format(time.RFC3339))
		}
		return t.print(c.stdout)
	})
}

func get(ctx context.Context, c *command) error {
	name, err := c.oneArg("the document's name")
	if err != nil {
		return err
	}
	var doc conf.Document
	return c.show(ctx, "/v1/document", url.Values{"name": {name}}, &doc, func() error {
		return c.printf("# %s, version %d, by %s\n%s", doc.Name, doc.Version, doc.Author, doc.Text)
	})
}

func diff(ctx context.Context, c *command) error {
	path, err := c.oneArg("the file")
	if err != nil {
		return err
	}
	name, text, err := readDocument(path)
	if err != nil {
		return asRejection(path, err)
	}
	var doc conf.Document
	err = c.client.get(ctx, "/v1/document", url.Values{"name": {name}}, &doc)
	var status *ErrStatus
	if err != nil && (!errors.As(err, &status) || status.Status != http.StatusNotFound) {
		return err
	}
	const contextLines = 3
	out, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(doc.Text),
		B:        difflib.SplitLines(text),
		FromFile: fmt.Sprintf("%s version %d", name, doc.Version),
		ToFile:   path,
		Context:  contextLines,
	})
	if err != nil {
		return fmt.Errorf("compare: %w", err)
	}
	return c.printf("%s", out)
}

func history(ctx context.Context, c *command) error {
	name, err := c.optionalArg()
	if err != nil {
		return err
	}
	var body struct {
		Verdicts []conf.Verdict `json:"verdicts"`
	}
	return c.show(ctx, "/v1/history", url.Values{"name": {name}}, &body, func() error {
		t := newTable("OFFSET", "TIME", "AUTHOR", "DOCUMENT", "OUTCOME", "REASON")
		for _, v := range body.Verdicts {
			t.row(v.Offset, v.Time.Format(time.RFC3339), v.Author, v.Document, v.Outcome, v.Reason)
		}
		return t.print(c.stdout)
	})
}

func showUsage(ctx context.Context, c *command) error {
	account, err := c.optionalArg()
	if err != nil {
		return err
	}
	var body struct {
		Lines   []usage.Line `json:"lines"`
		Hosts   []string     `json:"hosts"`
		Missing []string     `json:"missing"`
	}
	return c.show(ctx, "/v1/usage", url.Values{"account": {account}}, &body, func() error {
		t := newTable("ACCOUNT", "RANK", "ASKED", "ADMITTED", "REFUSED", "IN-TIME", "LATE", "FAILED", "HIT-RATE", "P95-FIRST-TOKEN")
		for i := range body.Lines {
			l := &body.Lines[i]
			t.row(l.Account, l.Rank, l.Asked, l.Admitted, formatCounts(l.Refused), l.InTime, l.Late, l.Failed,
				fmt.Sprintf("%.1f%%", 100*l.HitRate()), "<="+l.FirstTokenQuantile(0.95).String())
		}
		if err := t.print(c.stdout); err != nil {
			return err
		}
		if len(body.Missing) > 0 {
			return c.printf("hosts that did not answer: %s\n", strings.Join(body.Missing, ", "))
		}
		return nil
	})
}

func hosts(ctx context.Context, c *command) error {
	var body struct {
		Hosts []member.Host `json:"hosts"`
	}
	return c.show(ctx, "/v1/hosts", nil, &body, func() error {
		t := newTable("HOST", "FAILURE-DOMAIN", "ADDRESS", "STATE", "LISTED")
		for _, h := range body.Hosts {
			t.row(h.Name, h.FailureDomain, h.Address, h.State, h.Listed)
		}
		return t.print(c.stdout)
	})
}

func endpoints(ctx context.Context, c *command) error {
	var body struct {
		Endpoints []struct {
			Name          string        `json:"name"`
			FailureDomain string        `json:"failure-domain"`
			Kind          string        `json:"kind"`
			Status        health.Status `json:"status"`
		} `json:"endpoints"`
	}
	return c.show(ctx, "/v1/endpoints", nil, &body, func() error {
		t := newTable("ENDPOINT", "FAILURE-DOMAIN", "KIND", "STATE", "RUNNING", "QUEUED-TOKENS", "WEIGHTS")
		for _, e := range body.Endpoints {
			t.row(e.Name, e.FailureDomain, e.Kind, e.Status.State, e.Status.Requests(), e.Status.QueuedTokens(), formatWeights(e.Status.Report.Weights))
		}
		return t.print(c.stdout)
	})
}

func snapshot(ctx context.Context, c *command) error {
	var snap conf.Snapshot
	if err := c.client.get(ctx, "/v1/snapshot", nil, &snap); err != nil {
		return err
	}
	return c.printJSON(snap)
}

func dump(ctx context.Context, c *command) error {
	var state json.RawMessage
	if err := c.client.get(ctx, "/v1/dump", nil, &state); err != nil {
		return err
	}
	return c.printJSON(state)
}

func drain(ctx context.Context, c *command) error {
	if err := c.client.post(ctx, "/v1/drain", struct{}{}, nil); err != nil {
		return err
	}
	return c.printf("the router stops once its requests are answered\n")
}

const maxKeyBytes = 4096

func hashKey(_ context.Context, c *command) error {
	raw, err := io.ReadAll(io.LimitReader(c.stdin, maxKeyBytes))
	if err != nil {
		return fmt.Errorf("read key: %w", err)
	}
	key := strings.TrimSpace(string(raw))
	if key == "" {
		return &ErrUsage{Reason: "give the key on standard input"}
	}
	return c.printf("%s\n", fleet.HashKey(key))
}
