package engine

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"cicadastand.dev/core/proto/engine"
	"cicadastand.dev/core/state/prefix"
)

// importPieces fetches the pieces that follow the cached ones from the store for
// offloaded KV cache, up to the limit in the request's header and as far as the store
// has them. It returns their number.
func (e *Engine) importPieces(ctx context.Context, j *job, cached int) (int, error) {
	allowed, _ := strconv.Atoi(j.header.Get(engine.HeaderImport))
	allowed = min(allowed, len(j.chain))
	n := cached
	for n < allowed && e.callStore(ctx, http.MethodGet, j.chain[n]) {
		n++
	}
	if n == cached {
		return 0, nil
	}
	tokens := (n - cached) * prefix.PieceTokens
	work := time.Duration(float64(tokens) / e.cfg.ImportRate * float64(time.Second))
	return n - cached, e.simulateWork(ctx, work)
}

// exportPieces writes the leading pieces of the prompt to the store for offloaded KV
// cache, as many as the request's header says.
func (e *Engine) exportPieces(ctx context.Context, j *job) {
	wanted, _ := strconv.Atoi(j.header.Get(engine.HeaderExport))
	for _, k := range j.chain[:min(wanted, len(j.chain))] {
		if !e.callStore(ctx, http.MethodPut, k) {
			return
		}
	}
}

func (e *Engine) callStore(ctx context.Context, method string, k prefix.Key) bool {
	if !e.cfg.OffloadStore.IsValid() {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.cfg.OffloadStore.String()+"/v1/kept/"+k.String(), nil)
	if err != nil {
		return false
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
