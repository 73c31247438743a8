package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/samber/lo"

	"cicadastand.dev/core/coord/taint"
	"cicadastand.dev/core/proto/call"
	"cicadastand.dev/router/conns"
)

// confirmationWait is how long a retry waits for the confirmation of the crash of its last
// attempt: more than a round trip between failure domains.
const confirmationWait = 100 * time.Millisecond

// isDisconnect reports whether an error is a reset or the end of a connection. A timeout
// is neither, nor are bytes that are no response.
func isDisconnect(err error) bool {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, errEventTruncated) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// suspectCrash records that an endpoint broke off the request before its answer had settled.
func (j *job) suspectCrash(c choice, err error) {
	if !j.hasSharedParts() || !isDisconnect(err) {
		return
	}
	s := j.suspectRequest()
	if s.ran >= taint.SettledTime {
		j.r.cfg.Logger.Info("break of an answer that had settled is not counted against its prompt parts", "id", j.params.ID,
			"endpoint", c.endpoint.ID, "event", j.lastEvent, "ms-after-first-event", s.ran.Milliseconds(), "parts", j.shared, "error", err)
		return
	}
	j.confirmation = j.r.crashes.suspect(c.endpoint, s)
}

func (j *job) suspectRequest() suspectRequest {
	s := suspectRequest{id: j.params.ID, fingerprint: j.fingerprint, at: j.r.cfg.Clock.Boot()}
	if j.hasSharedParts() {
		s.parts = j.shared
	}
	if j.answer != nil {
		s.ran = j.answer.RanFor(s.at)
	}
	return s
}

// awaitConfirmation waits for the confirmation of the crash that the last attempt has met, so
// that a retry is not sent if it shows that the prompt crashes engines.
func (j *job) awaitConfirmation(ctx context.Context) {
	f := j.confirmation
	if f == nil {
		return
	}
	j.confirmation = nil
	limit := j.r.cfg.Clock.Once(confirmationWait)
	defer limit.Stop()
	select {
	case <-f.ended:
	case <-limit.C():
	case <-ctx.Done():
	}
}

// hasSharedParts reports whether the request is a prompt with parts that others can have too.
func (j *job) hasSharedParts() bool { return len(j.shared) > 0 && j.isModel() }

// recordProgress records an event of the answer of the current attempt.
func (j *job) recordProgress() {
	now := j.r.cfg.Clock.Boot()
	switch {
	case j.answer != nil:
		if crashes := j.answer.Progress(now); crashes > 0 {
			j.r.logDismissed(crashes, j.params.ID, j.shared)
		}
	case j.hasSharedParts():
		j.answer = j.r.cfg.Taint.Begin(j.shared, now)
	}
}

// recordWhole records an answer that an endpoint has sent to its end. The rest of a stream may be
// shorter than what an endpoint writes before it crashes, so it tells only by how long it took.
func (j *job) recordWhole(c choice, resp *conns.Response) {
	if resp.Unframed {
		j.confirmWhole(c)
		return
	}
	j.r.cfg.Poison.RecordCompletion(j.fingerprint)
	if !j.hasSharedParts() || j.isRest {
		return
	}
	if crashes := j.r.cfg.Taint.RecordWhole(j.shared, j.r.cfg.Clock.Boot()); crashes > 0 {
		j.r.logDismissed(crashes, j.params.ID, j.shared)
	}
}

// confirmWhole finds out whether an endpoint has crashed whose answer had neither a length nor
// chunks and ended with its connection: a crash may end it in the same way. Until then the end is
// evidence of nothing.
func (j *job) confirmWhole(c choice) {
	s := j.suspectRequest()
	s.mayBeWhole, s.isRest = true, j.isRest
	if j.isModel() || j.r.cfg.Poison.IsSuspect(j.fingerprint, j.r.cfg.Clock.Now()) {
		j.r.crashes.suspect(c.endpoint, s)
	}
}

func (r *Relay) logDismissed(crashes int, id string, parts []string) {
	r.cfg.Logger.Info("crashes no longer count against prompt parts, an answer went on for longer", "id", id, "parts", parts, "crashes", crashes)
}

// checkParts rejects a request with a part that crashes engines, also if its stream has begun:
// the engine may have crashed after some events.
func (j *job) checkParts() *rejection {
	if !j.hasSharedParts() {
		return nil
	}
	if err := j.r.cfg.Taint.Check(j.shared); err != nil {
		j.r.tainted.Inc()
		return newRejection(http.StatusServiceUnavailable, 0, "%v", err)
	}
	return nil
}

func sharedParts(p *call.Request) []string {
	return lo.Map(p.Shared(), func(part call.Part, _ int) string { return part.ID })
}
