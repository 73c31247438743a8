package oper

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"cicadastand.dev/core/coord/commit"
	"cicadastand.dev/core/coord/health"
	"cicadastand.dev/core/coord/member"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/conf"
	"cicadastand.dev/core/state/usage"
)

// Output wraps the body of a response.
type Output[T any] struct {
	Body T
}

// ChangeBody is a change that an operator requests.
type ChangeBody struct {
	Document string `json:"document" doc:"fleet, or contract/ACCOUNT" minLength:"1" maxLength:"80"`
	Base     uint64 `json:"base" doc:"version that the operator saw, 0 for a new document"`
	Text     string `json:"text,omitempty" doc:"the document in YAML" maxLength:"1048576"`
	Remove   bool   `json:"remove,omitempty" doc:"delete the document"`
}

// ChangeInput is the input of a publication or a check.
type ChangeInput struct {
	Body ChangeBody
}

// DocumentInput selects a document.
type DocumentInput struct {
	Name string `query:"name" required:"true" doc:"fleet, or contract/ACCOUNT"`
}

// DocumentsBody lists the documents without their text.
type DocumentsBody struct {
	Offset    uint64            `json:"offset"`
	Documents []DocumentSummary `json:"documents"`
}

// DocumentSummary describes a document without its text.
type DocumentSummary struct {
	Name    string    `json:"name"`
	Version uint64    `json:"version"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
}

// HistoryInput selects verdicts on changes.
type HistoryInput struct {
	Name string `query:"name" doc:"only this document"`
}

// HistoryBody lists verdicts, oldest first.
type HistoryBody struct {
	Verdicts []conf.Verdict `json:"verdicts"`
}

// UsageInput selects a client account.
type UsageInput struct {
	Account string `query:"account" doc:"only this account"`
}

// UsageBody is the usage summed over all hosts that responded.
type UsageBody struct {
	Lines   []usage.Line `json:"lines"`
	Hosts   []string     `json:"hosts"`
	Missing []string     `json:"missing" doc:"hosts that did not answer"`
}

// HostsBody lists the hosts with their last known state.
type HostsBody struct {
	Hosts []member.Host `json:"hosts"`
}

// EndpointsBody lists the endpoints with their last known state.
type EndpointsBody struct {
	Endpoints []EndpointStatus `json:"endpoints"`
}

// EndpointStatus is the last known state of an endpoint.
type EndpointStatus struct {
	Name          string        `json:"name"`
	FailureDomain string        `json:"failure-domain"`
	Kind          string        `json:"kind"`
	Status        health.Status `json:"status"`
}

func (s *Server) register(api huma.API) {
	registerOperation(api, http.MethodGet, "/v1/documents", "list-documents", s.documents)
	registerOperation(api, http.MethodGet, "/v1/document", "get-document", s.document)
	registerOperation(api, http.MethodPost, "/v1/changes", "publish-change", s.publish)
	registerOperation(api, http.MethodPost, "/v1/changes/check", "check-change", s.check)
	registerOperation(api, http.MethodGet, "/v1/history", "list-history", s.history)
	registerOperation(api, http.MethodGet, "/v1/usage", "get-usage", s.usage)
	registerOperation(api, http.MethodGet, "/v1/hosts", "list-hosts", s.hosts)
	registerOperation(api, http.MethodGet, "/v1/endpoints", "list-endpoints", s.endpoints)
	registerOperation(api, http.MethodGet, "/v1/snapshot", "get-snapshot", s.snapshot)
	registerOperation(api, http.MethodGet, "/v1/dump", "dump-state", s.dump)
	registerOperation(api, http.MethodPost, "/v1/drain", "drain-host", s.drain)
}

// registerOperation adds an operation that requires a key.
func registerOperation[I, O any](api huma.API, method, path, id string, handler func(context.Context, *I) (*O, error)) {
	op := huma.Operation{
		OperationID: id,
		Method:      method,
		Path:        path,
		Security:    []map[string][]string{{"key": {}}},
	}
	huma.Register(api, op, handler)
}

func (s *Server) documents(context.Context, *struct{}) (*Output[DocumentsBody], error) {
	out := &Output[DocumentsBody]{}
	s.cfg.Store.Read(func(st *conf.State) {
		out.Body.Offset = st.Offset()
		out.Body.Documents = lo.Map(st.Documents(), func(d conf.Document, _ int) DocumentSummary {
			return DocumentSummary{Name: d.Name, Version: d.Version, Author: d.Author, Time: d.Time}
		})
	})
	return out, nil
}

func (s *Server) document(_ context.Context, in *DocumentInput) (*Output[conf.Document], error) {
	out := &Output[conf.Document]{}
	found := false
	s.cfg.Store.Read(func(st *conf.State) { out.Body, found = st.Document(in.Name) })
	if !found {
		return nil, huma.Error404NotFound("no document is called " + in.Name)
	}
	return out, nil
}

func (s *Server) publish(ctx context.Context, in *ChangeInput) (*Output[conf.Verdict], error) {
	ctx, cancel := clock.WithTimeout(ctx, s.cfg.Clock, publishTimeout)
	defer cancel()
	v, err := s.cfg.Publisher.Publish(ctx, change(ctx, in.Body))
	if commit.IsErrOutcomeUnknown(err) {
		return nil, huma.Error504GatewayTimeout(err.Error())
	}
	if err != nil {
		return nil, huma.Error503ServiceUnavailable(err.Error())
	}
	s.cfg.Logger.Info("change published", "document", v.Document, "author", v.Author, "outcome", v.Outcome, "version", v.Version)
	return &Output[conf.Verdict]{Body: v}, nil
}

func (s *Server) check(ctx context.Context, in *ChangeInput) (*Output[conf.Verdict], error) {
	out := &Output[conf.Verdict]{}
	s.cfg.Store.Read(func(st *conf.State) { out.Body = st.Check(change(ctx, in.Body)) })
	return out, nil
}

func change(ctx context.Context, b ChangeBody) conf.Change {
	author, _ := ctx.Value(authorKey{}).(string)
	return conf.Change{Document: b.Document, Base: b.Base, Author: author, Text: b.Text, Remove: b.Remove}
}

func (s *Server) history(_ context.Context, in *HistoryInput) (*Output[HistoryBody], error) {
	out := &Output[HistoryBody]{}
	s.cfg.Store.Read(func(st *conf.State) {
		out.Body.Verdicts = lo.Filter(st.History(), func(v conf.Verdict, _ int) bool { return in.Name == "" || v.Document == in.Name })
	})
	return out, nil
}

func (s *Server) usage(ctx context.Context, in *UsageInput) (*Output[UsageBody], error) {
	reports, missing := s.cfg.Usages.Usages(ctx, in.Account)
	hosts := lo.Map(reports, func(r usage.Report, _ int) string { return r.Host })
	return &Output[UsageBody]{Body: UsageBody{Lines: usage.Sum(reports), Hosts: hosts, Missing: missing}}, nil
}

func (s *Server) hosts(context.Context, *struct{}) (*Output[HostsBody], error) {
	return &Output[HostsBody]{Body: HostsBody{Hosts: s.cfg.Members.Find(member.FindOptions{})}}, nil
}

func (s *Server) endpoints(context.Context, *struct{}) (*Output[EndpointsBody], error) {
	out := &Output[EndpointsBody]{}
	for _, e := range s.cfg.Store.View().Fleet.Endpoints {
		out.Body.Endpoints = append(out.Body.Endpoints, EndpointStatus{
			Name:          e.Name,
			FailureDomain: e.FailureDomain,
			Kind:          string(e.Kind),
			Status:        s.cfg.Health.Get(e.Name),
		})
	}
	return out, nil
}

func (s *Server) snapshot(context.Context, *struct{}) (*Output[conf.Snapshot], error) {
	return &Output[conf.Snapshot]{Body: s.cfg.Store.Snapshot()}, nil
}

func (s *Server) dump(context.Context, *struct{}) (*Output[any], error) {
	return &Output[any]{Body: s.cfg.Dump()}, nil
}

func (s *Server) drain(context.Context, *struct{}) (*Output[struct{}], error) {
	s.cfg.Drain()
	return &Output[struct{}]{}, nil
}
