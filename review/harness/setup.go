package main

import (
	"fmt"
	"time"
)

// The names of this deployment. Its figures are those of a small site.
const (
	siteHost = "jepu9.example"
	siteKey  = "ctnfzs989anu6wsjnban"
	model    = "daka510000"
)

var siteZones = []string{"quito-norte", "quito-sur", "latacunga", "ambato"}

// tenant is an account in the config.
type tenant struct {
	name, key string
	isolated  bool
}

// putConfig writes a config with the routes of the site and one tenant.
func (w *world) putConfig(version int) {
	w.putTenants(version, tenant{name: "sese880", key: siteKey})
}

// putTenants writes a config with the routes of the site and some tenants.
func (w *world) putTenants(version int, tenants ...tenant) {
	rows := []any{}
	for _, t := range tenants {
		rows = append(rows, map[string]any{"name": t.name, "api_keys": []string{t.key}, "priority": 1, "isolated": t.isolated})
	}
	route := func(name, kind, service string, timeout, target, attempts, priority int, resumable bool) map[string]any {
		r := map[string]any{
			"name": name, "host": siteHost, "path_prefix": "/" + name + "/", "route_kind": kind, "service": service,
			"timeout_ms": timeout, "target_latency_ms": target, "priority": priority, "max_attempts": attempts, "public": false,
		}
		if kind == "streaming" {
			r["sticky"], r["resumable"], r["target_gap_ms"] = true, resumable, 400
		}
		return r
	}
	w.store.put("keyed.op", "config", map[string]any{
		"version": version,
		"routes": []any{
			route("quote", "streaming", "asistente", 12000, 500, 2, 0, true),
			route("check", "streaming", "asistente", 2500, 1500, 1, 2, false),
			route("commit", "non_idempotent", "pedidos", 2000, 300, 1, 2, false),
			route("lookup", "idempotent", "pedidos", 2000, 300, 2, 2, false),
		},
		"services": []any{
			map[string]any{"name": "asistente", "health_path": "/health", "max_connections": 230, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 32, "kv_capacity": 212434, "token_kv_bytes": 327680, "link_mbps": 1500000.0, "moves": true, "backups": true, "stride": 7,
				"max_inflight": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": model}},
			}},
			map[string]any{"name": "pedidos", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": rows,
	})
	w.store.put("keyed.op", "version/"+model, map[string]any{"model": model, "version": 1})
}

// build makes the small site: hosts and engines in the site's zones.
func (w *world) build(hosts, memoryMB, models, workers int) error {
	w.putConfig(7)
	for n := range hosts {
		if err := w.addHost(siteZones[n%len(siteZones)], memoryMB, siteZones); err != nil {
			return err
		}
	}
	for n := range models {
		w.engines = append(w.engines, &engine{
			w: w, service: "asistente", zone: siteZones[n%len(siteZones)], build: "v1", model: model, slots: make(chan struct{}, 32),
			work: 150 * time.Millisecond, events: 12, pause: 20 * time.Millisecond, away: 3 * time.Second,
		})
	}
	for n := range workers {
		w.engines = append(w.engines, &engine{
			w: w, service: "pedidos", zone: siteZones[n%len(siteZones)], build: "v1", slots: make(chan struct{}, 6),
			work: 60 * time.Millisecond, away: 3 * time.Second,
		})
	}
	return nil
}

// headers returns the headers of a client's request.
func headers(id string, deadline time.Duration, parts string, tokens int) map[string]string {
	h := map[string]string{"X-Request-Id": id, "X-Deadline-Ms": fmt.Sprint(deadline.Milliseconds()), "Authorization": "Bearer " + siteKey}
	if parts != "" {
		h["X-Model"], h["X-Token-Usage"], h["X-Prompt-Prefix"] = model, fmt.Sprintf("%d,55", tokens), parts
	}
	return h
}

// send sends one request on a new channel to a host, and records it.
func (w *world) send(h *host, method, path, id string, header map[string]string, body []byte, most time.Duration) answer {
	w.note("sent", h.name, id, method+" "+path)
	a := newClient(h.front, most).do(method, path, siteHost, header, body)
	w.note("answered", h.name, id, a.String())
	return a
}
