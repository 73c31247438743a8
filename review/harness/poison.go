package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// stable is the users' stable_window_ms.
const stable = 3 * time.Second

// playPoison: a request that crashes the engines that run it comes again and again.
func playPoison(w *world) (bool, error) {
	if err := w.build(6, 134, 0, 6); err != nil {
		return false, err
	}
	const path = "/lookup/status/17"
	for _, e := range w.engines {
		if w.trouble {
			e.crashes = func(r *http.Request) bool { return r.URL.Path == path }
		}
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(stable + 500*time.Millisecond)
	const every = 25 * time.Millisecond
	w.say("the request comes every %d ms, at one host after the other", every.Milliseconds())
	var sending sync.WaitGroup
	begin := w.since()
	for n := 0; w.since()-begin < 85*time.Second; n++ {
		h := w.hosts[n%len(w.hosts)]
		sending.Add(1)
		go func() {
			defer sending.Done()
			id := fmt.Sprintf("same-%d", n)
			w.send(h, "GET", path, id, headers(id, 4*time.Second, "", 0), nil, 4*time.Second)
		}()
		time.Sleep(every)
	}
	sending.Wait()
	return w.judgeCrashes(path, 3, 0), nil
}

// judgeCrashes counts the requests that reach engines later than stable_window_ms after a
// crash, and after the hosts are in touch.
func (w *world) judgeCrashes(mark string, nth int, inTouch time.Duration) bool {
	crashes := w.events("crash")
	if len(crashes) < nth {
		w.say("%d crashes", len(crashes))
		return false
	}
	from := max(crashes[nth-1].at+stable, inTouch)
	late := 0
	for _, e := range w.events("arrives") {
		if strings.Contains(e.about, mark) && e.at > from {
			late++
		}
	}
	w.say("%d crashes, number %d at %.3f s; requests that reached engines later than %.3f s: %d (3 are allowed)", len(crashes), nth, crashes[nth-1].at.Seconds(), from.Seconds(), late)
	return late > 3
}

// playTaint: requests with a part that crashes engines come in two spells, and between them
// all hosts are killed and started again.
func playTaint(w *world) (bool, error) {
	if err := w.build(6, 134, 18, 0); err != nil {
		return false, err
	}
	const bad = "e4402b7d"
	for _, e := range w.engines {
		e.crashes = hasPart(bad)
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(stable + 500*time.Millisecond)
	stop := make(chan struct{})
	var sending sync.WaitGroup
	sending.Add(1)
	go func() {
		defer sending.Done()
		w.soundQuotes(stop, &sending)
	}()
	w.badQuotes("first", bad, 6*time.Second, &sending)
	time.Sleep(3 * time.Second)
	inTouch := w.since()
	if w.trouble {
		w.say("all hosts are killed, and started again half a second later")
		for _, h := range w.hosts {
			h.kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, h := range w.hosts {
			if err := h.run(); err != nil {
				return false, err
			}
		}
		if err := w.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
		inTouch = w.since() + stable
	}
	time.Sleep(stable + 2*time.Second)
	w.badQuotes("second", bad, 6*time.Second, &sending)
	close(stop)
	sending.Wait()
	return w.judgeCrashes(bad, 5, inTouch), nil
}

func (w *world) badQuotes(spell, bad string, span time.Duration, sending *sync.WaitGroup) {
	const every = 100 * time.Millisecond
	w.say("%s spell of requests with the part that crashes engines, every %d ms", spell, every.Milliseconds())
	begin := w.since()
	for n := 0; w.since()-begin < span; n++ {
		h := w.hosts[n%len(w.hosts)]
		sending.Add(1)
		go func() {
			defer sending.Done()
			id := fmt.Sprintf("bad-%s-%d", spell, n)
			parts := fmt.Sprintf("5c1e07a2:800,%s:410,%06x:6000", bad, 0xa00000+n)
			w.send(h, "POST", "/quote/"+spell, id, headers(id, 12*time.Second, parts, 7210), []byte(fmt.Sprint("draft ", n)), 12*time.Second)
		}()
		time.Sleep(every)
	}
}

func (w *world) soundQuotes(stop chan struct{}, sending *sync.WaitGroup) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		h := w.hosts[n%len(w.hosts)]
		sending.Add(1)
		go func() {
			defer sending.Done()
			id := fmt.Sprintf("sound-%d", n)
			parts := fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%06x:6000", 0xb00000+n)
			w.send(h, "POST", "/quote/sound", id, headers(id, 12*time.Second, parts, 7210), []byte(fmt.Sprint("draft ", n)), 12*time.Second)
		}()
	}
}

// hasPart says whether the prompt of a request has a part.
func hasPart(part string) func(*http.Request) bool {
	return func(r *http.Request) bool { return strings.Contains(r.Header.Get("X-Prompt-Prefix"), part) }
}
