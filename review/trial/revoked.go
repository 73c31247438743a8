package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const oldKey = "fqasnmgkcuyj8pjbvk9m"

// runRevoked has the store come back from a copy that still has a key, while a router is restarted.
func runRevoked(w *world, trouble bool) (verdict, error) {
	const (
		revoke  = 5 * time.Second // revoke_ms
		away    = time.Second
		rewrite = 2 * time.Second
	)
	if err := w.startAll(6, 4); err != nil {
		return verdict{}, err
	}
	withKeys := func(keys ...any) func(map[string]any) {
		return func(config map[string]any) {
			config["tenants"] = []any{map[string]any{"name": "sese880", "api_keys": keys, "priority": 1, "isolated": false}}
		}
	}
	w.publish(8, withKeys(key, oldKey))
	time.Sleep(2 * time.Second)
	snapshot, copied := w.store.lengths(), time.Now()
	w.record.say("the copy of the store is made")
	time.Sleep(500 * time.Millisecond)
	w.publish(9, withKeys(key))
	confirmed := time.Now()
	w.record.say("the key is taken away, confirmed")
	time.Sleep(revoke + 200*time.Millisecond)
	target := w.routers[0]
	_ = target.cmd.Process.Kill()
	<-target.done
	w.record.say("%s is killed", target.name)
	if trouble {
		w.record.say("the store is away")
		if err := w.store.restore(snapshot, away, rewrite); err != nil {
			return verdict{}, err
		}
		w.record.say("the store is back from a copy made %.1f s ago; what the operator wrote is written again in %v", time.Since(copied).Seconds(), rewrite)
	} else {
		time.Sleep(away)
	}
	if err := w.restart(0, "quito-norte"); err != nil {
		return verdict{}, err
	}
	w.record.say("%s is started again", target.name)
	ran, first, last, by := 0, 0.0, 0.0, newTally()
	for until := time.Now().Add(6 * time.Second); time.Now().Before(until); time.Sleep(40 * time.Millisecond) {
		r := request{id: newID(), method: http.MethodGet, path: readPath + "7", header: map[string]string{"Authorization": "Bearer " + oldKey, "X-Deadline-Ms": "2000"}}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		sent := time.Since(confirmed).Seconds()
		a := ask(ctx, target.front, r)
		cancel()
		by.add(a)
		if len(w.runs.of(r.id)) > 0 {
			if ran++; ran == 1 {
				first = sent
			}
			last = sent
			w.record.say("request %s with the key, sent %.2f s after the confirmation, has run; answer %d", r.id, sent, a.status)
		}
	}
	w.record.say("requests with the key were answered %s", by)
	return verdict{broken: ran > 0, summary: fmt.Sprintf("%d requests with the key ran, sent %.2f to %.2f s after the confirmation; answers %s", ran, first, last, by)}, nil
}
