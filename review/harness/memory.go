package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const memoryMB = 134

// rss returns the resident memory of a process in bytes.
func rss(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// watchMemory does what the platform does: a process over its limit is killed, and started
// again after a short delay. It records the peak.
func (w *world) watchMemory(h *host, limit int64, peak, kills *atomic.Int64) {
	for !w.ended() {
		time.Sleep(5 * time.Millisecond)
		now := rss(h.pid())
		if now > peak.Load() {
			peak.Store(now)
		}
		if now <= limit {
			continue
		}
		w.note("memory", h.name, "", fmt.Sprintf("%.1f MB, the limit is %d MB: killed by the platform", float64(now)/(1<<20), limit>>20))
		kills.Add(1)
		h.kill()
		time.Sleep(500 * time.Millisecond)
		if w.ended() || h.run() != nil {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// What each client sends: a request with the longest body that the config allows, at a part
// of the machine's link of 1,000 Mbit/s. All of them together stay below that.
const (
	longBody  = 4194304
	longPiece = 65536
	// usualClients is how many clients send long requests to each host at the usual load, and
	// burstFactor the burst.
	usualClients = 12
	burstFactor  = 2.5
	burstTime    = 5400 * time.Millisecond
	// clientMbps is the bandwidth of one client.
	clientMbps = 30.0
)

// playMemory: a burst of clients that send long requests, each within the limits of the config.
func playMemory(w *world) (bool, error) {
	if err := w.build(2, memoryMB, 6, 4); err != nil {
		return false, err
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	const usual = usualClients
	peaks, kills := make([]atomic.Int64, len(w.hosts)), make([]atomic.Int64, len(w.hosts))
	for i, h := range w.hosts {
		go w.watchMemory(h, memoryMB<<20, &peaks[i], &kills[i])
	}
	stop, burstEnd := make(chan struct{}), make(chan struct{})
	var all sync.WaitGroup
	var lost atomic.Int64
	// The ordinary traffic: orders on kept channels, and some long requests.
	for _, h := range w.hosts {
		for c := range 12 {
			all.Add(1)
			go func() {
				defer all.Done()
				w.orders(h, c, stop, &lost)
			}()
		}
		for c := range usual {
			all.Add(1)
			go func() {
				defer all.Done()
				w.uploads(h, c, stop)
			}()
		}
	}
	w.say("%d clients send long requests to each host, one after the other", usual)
	time.Sleep(8 * time.Second)
	w.say("before: peaks %s", peakText(peaks))
	if w.trouble {
		w.say("burst: %.1f times as many clients, for %.1f s", burstFactor, burstTime.Seconds())
		for _, h := range w.hosts {
			for c := usual; c < int(burstFactor*usual); c++ {
				all.Add(1)
				go func() {
					defer all.Done()
					w.uploads(h, c, burstEnd)
				}()
			}
		}
	}
	time.Sleep(burstTime)
	close(burstEnd)
	time.Sleep(6 * time.Second)
	close(stop)
	all.Wait()
	for i, h := range w.hosts {
		w.say("%s: peak %.1f MB, the limit is %d MB, killed %d times", h.name, float64(peaks[i].Load())/(1<<20), memoryMB, kills[i].Load())
	}
	w.say("orders on kept channels that an engine had begun and whose channel was closed without an answer: %d (3 are allowed)", lost.Load())
	return lost.Load() > 3, nil
}

func peakText(peaks []atomic.Int64) string {
	text := ""
	for i := range peaks {
		text += fmt.Sprintf("%.1f MB ", float64(peaks[i].Load())/(1<<20))
	}
	return text
}

// uploads sends long requests one after the other until stop.
func (w *world) uploads(h *host, c int, stop chan struct{}) {
	time.Sleep(time.Duration(c) * 50 * time.Millisecond) // clients are not in step
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		w.upload(h, fmt.Sprintf("long-%s-%d-%d", h.zone, c, n))
	}
}

// upload sends one long request.
func (w *world) upload(h *host, id string) {
	w.note("sent", h.name, id, fmt.Sprintf("POST /quote/draft, %d bytes", longBody))
	conn, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		w.note("answered", h.name, id, "no answer: "+err.Error())
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(12 * time.Second))
	head := fmt.Sprintf("POST /quote/draft HTTP/1.1\r\nHost: %s\r\n", siteHost)
	for name, value := range headers(id, 12*time.Second, "5c1e07a2:800,91bd3f06:410,"+fmt.Sprintf("%06x", rand.Intn(1<<24))+":6000", 7210) {
		head += name + ": " + value + "\r\n"
	}
	if _, err := io.WriteString(conn, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", longBody)); err != nil {
		w.note("answered", h.name, id, "no answer: "+err.Error())
		return
	}
	block := make([]byte, longPiece)
	for i := range block {
		block[i] = 'a' + byte(i%26)
	}
	begin := time.Now()
	for sent := 0; sent < longBody; {
		if _, err := conn.Write(block); err != nil {
			break
		}
		sent += longPiece
		time.Sleep(time.Until(begin.Add(time.Duration(float64(sent) * 8 / (clientMbps * 1e6) * float64(time.Second)))))
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		w.note("answered", h.name, id, "no answer: "+err.Error())
		return
	}
	raw, err := io.ReadAll(resp.Body)
	w.note("answered", h.name, id, answer{resp.StatusCode, resp.Header, raw, err}.String())
}

// orders sends orders one after the other on a kept channel.
func (w *world) orders(h *host, c int, stop chan struct{}, lost *atomic.Int64) {
	for n := 0; ; {
		conn, err := net.DialTimeout("tcp", h.front, time.Second)
		if err != nil {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
				continue
			}
		}
		reader := bufio.NewReader(conn)
		for kept := false; ; kept = true {
			select {
			case <-stop:
				_ = conn.Close()
				return
			case <-time.After(20 * time.Millisecond):
			}
			n++
			id := fmt.Sprintf("order-%s-%d-%d", h.zone, c, n)
			w.note("sent", h.name, id, "POST /commit/order, kept channel: "+strconv.FormatBool(kept))
			text := fmt.Sprintf("POST /commit/order HTTP/1.1\r\nHost: %s\r\n", siteHost)
			for name, value := range headers(id, 4*time.Second, "", 0) {
				text += name + ": " + value + "\r\n"
			}
			_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
			_, err := io.WriteString(conn, text+"Content-Length: 5\r\n\r\norder")
			var resp *http.Response
			var raw []byte
			if err == nil {
				resp, err = http.ReadResponse(reader, nil)
			}
			if err == nil {
				raw, err = io.ReadAll(resp.Body)
			}
			if err != nil {
				w.note("answered", h.name, id, "no answer: "+err.Error())
				if kept && w.began(id) {
					lost.Add(1)
				}
				break
			}
			w.note("answered", h.name, id, answer{resp.StatusCode, resp.Header, raw, nil}.String())
		}
		_ = conn.Close()
	}
}

// began reports whether an engine has begun a request.
func (w *world) began(id string) bool {
	for _, e := range w.events("runs") {
		if e.id == id {
			return true
		}
	}
	return false
}
