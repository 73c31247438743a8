package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// manyParts returns the prefix of a prompt of many short parts, which no other prompt has.
func manyParts(size int) (prefix string, parts int) {
	var b strings.Builder
	for b.Len() < size {
		if parts++; parts > 1 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%08x:1", rand.Uint32())
	}
	return b.String(), parts
}

const (
	// maxEnds is how often processes may not end by themselves on two machines or more.
	maxEnds     = 3
	minMachines = 2
)

// runParts has one client send prompts of many short parts, inside the limit of heads, to one host. The
// stand-in of the platform kills a router that holds more memory than its machine has, and starts it
// again.
func runParts(w *world, trouble bool) (verdict, error) {
	const (
		engines   = 18
		perSecond = 60
		span      = 85 * time.Second
		// prefixBytes leaves room for the other header lines in a head of 16,384 bytes.
		prefixBytes = 15800
	)
	zones := []string{"quito-norte", "quito-sur", "latacunga"}
	if err := w.startAll(engines, 4); err != nil {
		return verdict{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	usual, odd := newTally(), newTally()
	var all sync.WaitGroup
	all.Add(1)
	go func() {
		defer all.Done()
		w.ordinary(ctx, 60, usual)
	}()
	front := w.routers[0].front
	sent, sentParts, largest := 0, 0, 0
	if trouble {
		w.record.say("a client begins to send prompts of many parts to %s, %d a second", w.routers[0].name, perSecond)
	}
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	next := time.Now()
	ends := make([]int, len(w.routers))
	for ctx.Err() == nil && countAtLeast(ends, maxEnds) < minMachines {
		<-tick.C
		if time.Now().After(next) {
			next = time.Now().Add(2 * time.Second)
			w.record.say("sent %d prompts of many parts, answered %s; others %s; memory of the routers%s", sent, odd, usual, w.memory())
		}
		for i, r := range w.routers {
			if !r.hasEnded() && r.peakMB() <= memoryMB {
				continue
			}
			ends[i]++
			w.record.say("%s is killed and starts again: it holds %.0f of %d MB", r.name, r.peakMB(), memoryMB)
			_ = r.cmd.Process.Kill()
			<-r.done
			if err := w.restart(i, zones[i]); err != nil {
				return verdict{}, err
			}
		}
		if !trouble {
			continue
		}
		prefix, parts := manyParts(prefixBytes)
		r := request{id: newID(), method: http.MethodPost, path: modelPath + "x", body: strings.Repeat("p", 2400), header: map[string]string{
			"Authorization": "Bearer " + key, "X-Deadline-Ms": "2500", "X-Model": model, "X-Token-Usage": fmt.Sprintf("%d,3", parts), "X-Prompt-Prefix": prefix}}
		sent, sentParts, largest = sent+1, sentParts+parts, max(largest, len(r.bytes())-len(r.body))
		all.Add(1)
		go func() {
			defer all.Done()
			call, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
			defer cancel()
			odd.add(ask(call, front, r))
		}()
	}
	cancel()
	all.Wait()
	w.record.say("sent %d prompts with %d parts in all, heads of up to %d bytes; answered %s", sent, sentParts, largest, odd)
	w.record.say("other requests answered %s; memory of the routers%s; requests run by engines: %d", usual, w.memory(), w.runs.len())
	summary := fmt.Sprintf("the routers were over their %d MB and ended %v times, after %d prompts; other requests answered %s", memoryMB, ends, sent, usual)
	return verdict{broken: countAtLeast(ends, maxEnds) >= minMachines, summary: summary}, nil
}

func countAtLeast(list []int, least int) int {
	n := 0
	for _, v := range list {
		if v >= least {
			n++
		}
	}
	return n
}

// restart starts the process of a machine again.
func (w *world) restart(i int, zone string) error {
	rest := w.routers
	r, err := w.startRouter(i, zone)
	w.routers = rest
	if err == nil {
		w.routers[i] = r
	}
	return err
}

func (w *world) memory() string {
	out := ""
	for _, r := range w.routers {
		out += fmt.Sprintf(" %.0f", float64(r.resident())/(1<<20))
	}
	return out + " MB"
}
