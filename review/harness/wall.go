package main

import (
	"fmt"
	"strings"
	"time"
)

// The second tenant of this case.
const otherKey = "fqasnmgkcuyj8pjbvk9m"

// playWall: a new version of the config makes a tenant isolated, whose requests have shared
// parts of prompts with those of another tenant until then.
func playWall(w *world) (bool, error) {
	if err := w.build(2, 134, 6, 0); err != nil {
		return false, err
	}
	first, second := tenant{name: "sese880", key: siteKey}, tenant{name: "lepu115", key: otherKey}
	w.putTenants(8, first, second)
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(stable + 500*time.Millisecond)
	ask := func(n int, t tenant) {
		h := w.hosts[n%len(w.hosts)]
		id := fmt.Sprintf("%s-%d", t.name, n)
		header := headers(id, 12*time.Second, fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%06x:6000", 0xa00000+n), 7210)
		header["Authorization"] = "Bearer " + t.key
		w.send(h, "POST", "/quote/draft", id, header, []byte("draft "+id), 12*time.Second)
	}
	w.say("requests of %s, then of %s, with the same shared parts", first.name, second.name)
	for n := range 20 {
		ask(n, first)
	}
	for n := range 20 {
		ask(100+n, second)
	}
	if w.trouble {
		first.isolated = true
		w.say("version 9 of the config makes %s isolated", first.name)
		w.putTenants(9, first, second)
	}
	// config_ms is 2 s.
	time.Sleep(4 * time.Second)
	from := w.since()
	w.say("requests of both again")
	for n := range 20 {
		ask(200+n, second)
		ask(300+n, first)
	}
	count := 0
	for _, e := range w.events("uses") {
		of := func(a, b tenant) bool {
			return strings.HasPrefix(e.about, "tenant "+a.name+" uses") && strings.Contains(e.about, "that tenant "+b.name+" made")
		}
		if e.at > from && (of(first, second) || of(second, first)) {
			count++
		}
	}
	isolated := 0
	if first.isolated {
		isolated = count
	}
	w.say("parts of prompts that requests of one tenant used and that requests of the other had made, in the end: %d; while one of the two is isolated: %d (0 are allowed)", count, isolated)
	return isolated > 0, nil
}
