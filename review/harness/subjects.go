package main

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

// subjects is how many things the requests are about, as in the site; each has a part of its own.
const subjects = 248

// subjectPart returns the part of the prompt that belongs to a subject.
func subjectPart(n int) string { return fmt.Sprintf("%06x:400", 0xd00000+n) }

// playSubjects: requests with a part that crashes engines come every two seconds. Callers ask
// about a thing twice in a row; the part of that thing stands behind the bad one. Sound
// requests share all other parts: they ask about all things in turn.
func playSubjects(w *world) (bool, error) {
	if err := w.build(6, 134, 18, 0); err != nil {
		return false, err
	}
	const bad = "e4402b7d"
	if w.trouble {
		for _, e := range w.engines {
			e.crashes = hasPart(bad)
		}
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
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
			w.quote(&sending, n, fmt.Sprintf("sound-%d", n), "5c1e07a2:800,91bd3f06:410,"+subjectPart(n%subjects))
		}
	}()
	sending.Add(1)
	go func() {
		defer sending.Done()
		w.checks(stop, &sending)
	}()
	time.Sleep(4 * time.Second)
	const perSubject, every = 2, 2 * time.Second
	w.say("requests with the part %s come every %d s, %d about each thing", bad, every/time.Second, perSubject)
	for n := range 22 {
		// These are things that sound requests ask about at other times.
		subject := (subjects/2 + 5*(n/perSubject)) % subjects
		w.quote(&sending, n, fmt.Sprintf("bad-%d", n), "5c1e07a2:800,"+bad+":410,"+subjectPart(subject))
		time.Sleep(every)
	}
	close(stop)
	sending.Wait()
	return w.judgeCrashes(bad, 5, 0), nil
}

// quote sends a request with a prompt of some shared parts and one of its own.
func (w *world) quote(sending *sync.WaitGroup, n int, id, shared string) {
	h := w.hosts[n%len(w.hosts)]
	sending.Add(1)
	go func() {
		defer sending.Done()
		parts := fmt.Sprintf("%s,%06x:6000", shared, 0xa00000+rand.Intn(1<<20))
		w.send(h, "POST", "/quote/draft", id, headers(id, 12*time.Second, parts, 7610), []byte("draft "+id), 12*time.Second)
	}()
}

// checks sends the other requests of the site to the same engines, whose prompts share nothing
// with the quotes.
func (w *world) checks(stop chan struct{}, sending *sync.WaitGroup) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(15 * time.Millisecond):
		}
		h := w.hosts[n%len(w.hosts)]
		sending.Add(1)
		go func() {
			defer sending.Done()
			id := fmt.Sprintf("check-%d", n)
			parts := fmt.Sprintf("%06x:568,%06x:1800", 0xe00000+n%789, 0xf00000+n)
			w.send(h, "POST", "/check/stock", id, headers(id, 2500*time.Millisecond, parts, 2368), []byte("check "+id), 2500*time.Millisecond)
		}()
	}
}
