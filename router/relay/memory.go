package relay

import (
	"context"
	"net/http"
	"time"

	"cicadastand.dev/core/coord/line"
	"cicadastand.dev/core/coord/place"
	"cicadastand.dev/core/coord/shed"
	"cicadastand.dev/core/state/clock"
)

// roomInterval is the time between two attempts to find an engine with room. Within it most
// hosts have told the hub what has finished, and an attempt costs up to 1 ms of a processor of
// which a host has a fifth.
const roomInterval = 50 * time.Millisecond

// waitsForRoom reports whether the request is sent only to engines that do not lack memory
// for it. Streams that have begun go on at once, since their events would be lost work.
func (j *job) waitsForRoom(memory int) bool {
	e := j.service.Engine
	return e.CacheTokens > 0 && !j.started && !j.isResumed() && !place.IsSmall(memory, place.Engine{Slots: e.Slots, Capacity: e.CacheTokens})
}

// chooseWithRoom selects an endpoint like choose. If all engines lack memory for the request,
// it waits for room while the target allows it.
func (j *job) chooseWithRoom(ctx context.Context) (choice, *rejection) {
	if !j.isModel() || !j.waitsForRoom(j.promptMemory()) {
		return j.choose(ctx)
	}
	var w *line.Waiter
	if !j.r.line.IsEmpty(j.serviceName) {
		w = j.joinLine()
	}
	sent := false
	defer func() {
		if w != nil {
			w.Leave(sent)
		}
	}()
	began, known, last := j.r.cfg.Clock.Boot(), choice{}, false
	for {
		if w == nil || w.IsNext() || last {
			c, fault := j.choose(ctx)
			if fault != nil || c.lacking == 0 || last && place.IsTight(c.lacking, j.service.Engine.CacheTokens) {
				sent = fault == nil
				return c, fault
			}
			j.returnPermit(c)
			known = c
			if w == nil {
				w = j.joinLine()
			}
			if last {
				return choice{}, j.rejectForMemory(c)
			}
		}
		if last = shed.MaxHold(j.shedRequest(known)) < roomInterval; last {
			continue
		}
		if err := clock.Sleep(ctx, j.r.cfg.Clock, roomInterval); err != nil {
			return choice{}, errTimeout
		}
		j.roomWaited = j.r.cfg.Clock.Boot() - began
	}
}

func (j *job) joinLine() *line.Waiter {
	account := ""
	if j.account != nil {
		account = j.account.Name
	}
	return j.r.line.Join(line.Request{Service: j.serviceName, Rank: j.rank(), Account: account, Memory: j.promptMemory()})
}

// promptMemory returns the KV cache tokens of the request with all parts of its prompt.
func (j *job) promptMemory() int {
	p := j.prompt()
	return p.Tokens + p.OutputTokens
}

// rejectForMemory returns the rejection of a request for which no engine has room.
func (j *job) rejectForMemory(c choice) *rejection {
	j.r.noMemory.Inc()
	j.chosen = c
	after := shed.RetryForRoom(j.shedRequest(c), time.Duration(float64(c.lacking)/c.prefillRate*float64(time.Second)))
	return newRejection(http.StatusServiceUnavailable, after, "engines lack %d tokens of KV cache for %d, %d ms waited", c.lacking, c.memory, j.roomWaited.Milliseconds())
}
