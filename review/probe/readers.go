package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// slowReaders: clients of two hosts that are cut off from the servers for two seconds take
// large answers slowly, four times.
func slowReaders(c *cluster) {
	c.putConfig(1)
	for i := range 4 {
		c.startEngine(fmt.Sprint("shop-", i), "shop", "z1", "v1", false)
	}
	c.startHosts("z1", "z1", "z2", "z2")
	c.waitReady()
	k := c.watchMemory()
	const waves, clients, bytes = 4, 64, 1_000_000
	for wave := range waves {
		c.waitReady()
		c.note("wave %d", wave+1)
		stop := c.keepWarm(c.hosts[2:], 64, "/order/?work=200")
		time.Sleep(1500 * time.Millisecond)
		if c.trouble != "0" {
			for _, h := range c.hosts[:2] {
				c.cut(h)
			}
		}
		stop()
		var done sync.WaitGroup
		var read, whole, unserved atomic.Int64
		for _, h := range c.hosts[:2] {
			for i := range clients {
				done.Add(1)
				go func() {
					defer done.Done()
					n := readSlowly(h, request{id: fmt.Sprintf("%s-warmread%d.%d", h.name, wave, i), method: "POST", path: fmt.Sprintf("/order/?work=3600&bytes=%d", bytes), body: []byte("x")})
					read.Add(int64(n))
					switch {
					case n >= bytes:
						whole.Add(1)
					case n < 1000:
						unserved.Add(1)
					}
				}()
			}
		}
		time.Sleep(cutTime)
		if c.trouble != "0" {
			c.heal()
		}
		done.Wait()
		c.note("%d clients read %d bytes of %d answers of %d; %d answers were read whole, %d were refused or not begun", 2*clients, read.Load(), 2*clients, bytes, whole.Load(), unserved.Load())
	}
	c.verdict(k.finish() >= 2)
}

// readSlowly sends a request and reads its answer at some 200 KB a second. It returns the number
// of bytes that it got.
func readSlowly(h *host, q request) int {
	ch, err := dial(h.front())
	if err != nil {
		return 0
	}
	defer func() { _ = ch.conn.Close() }()
	_ = ch.conn.SetDeadline(time.Now().Add(13 * time.Second))
	if _, err := ch.conn.Write(append([]byte(q.head()), q.body...)); err != nil {
		return 0
	}
	buf, total := make([]byte, 20_000), 0
	for {
		n, err := ch.conn.Read(buf)
		total += n
		if err != nil || total >= 1_000_000 {
			return total
		}
		time.Sleep(100 * time.Millisecond)
	}
}
