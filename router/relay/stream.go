package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"cicadastand.dev/core/coord/load"
	"cicadastand.dev/router/conns"
)

// maxEvent limits the bytes of one event of a stream.
const maxEvent = 1 << 20

// eventChunk is the number of bytes that are read from a stream at once.
const eventChunk = 4 << 10

var (
	errEventSize      = errors.New("event is too large")
	errEventTruncated = errors.New("stream ends inside an event")
	errEventOrder     = errors.New("event is out of order")
	errEventID        = errors.New("event has no ID")
)

// eventReader splits a stream of server-sent events into events.
type eventReader struct {
	src  io.Reader
	held heldBytes
	buf  []byte
}

func (j *job) newEventReader(src io.Reader) *eventReader {
	return &eventReader{src: src, held: heldBytes{limit: &j.r.held, lease: j.lease}}
}

// next returns the next event, including the blank line that ends it. The event is valid until
// the next call. It returns io.EOF if the stream ended after a complete event.
func (e *eventReader) next() ([]byte, error) {
	e.shrink()
	for {
		if n := eventEnd(e.buf); n > 0 {
			event := e.buf[:n]
			e.buf = e.buf[n:]
			return event, nil
		}
		if len(e.buf) > maxEvent {
			return nil, errEventSize
		}
		if err := e.makeRoom(); err != nil {
			return nil, err
		}
		n, err := e.src.Read(e.buf[len(e.buf):cap(e.buf)])
		e.buf = e.buf[:len(e.buf)+n]
		if err == nil || n > 0 && errors.Is(err, io.EOF) {
			continue
		}
		if errors.Is(err, io.EOF) && len(e.buf) > 0 {
			return nil, errEventTruncated
		}
		return nil, err
	}
}

// makeRoom makes room to read the next part of the stream.
func (e *eventReader) makeRoom() error {
	if cap(e.buf)-len(e.buf) >= eventChunk {
		return nil
	}
	size := max(freeHeldBytes, 2*len(e.buf)+eventChunk)
	if more := size - int(e.held.used); more > 0 && !e.held.take(more) {
		return errHeldMemory
	}
	e.buf = append(make([]byte, 0, size), e.buf...)
	return nil
}

// shrink gives up the large buffer of the last event.
func (e *eventReader) shrink() {
	if e.held.used > freeHeldBytes && len(e.buf) < eventChunk {
		e.buf = bytes.Clone(e.buf)
		e.held.release()
	}
}

// eventEnd returns the length of the first complete event, or 0.
func eventEnd(b []byte) int {
	if at := bytes.Index(b, []byte("\n\n")); at >= 0 {
		return at + len("\n\n")
	}
	if at := bytes.Index(b, []byte("\r\n\r\n")); at >= 0 {
		return at + len("\r\n\r\n")
	}
	return 0
}

// eventID returns the number of an event, and false if it has none.
func eventID(event []byte) (int, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		n, err := strconv.Atoi(string(bytes.TrimSpace(value)))
		return n, err == nil
	}
	return 0, false
}

// isPartial reports whether the stream ended inside an event.
func (e *eventReader) isPartial() bool { return len(e.buf) > 0 }

// stream forwards events as they are received. If the endpoint disconnects and the
// route allows it, a retry resumes the stream after the last event.
func (j *job) stream(ctx context.Context, c choice, resp *conns.Response, tracked *load.Request, sent time.Time) (retry bool, fault *rejection) {
	if j.started && resp.Header.Get("Content-Type") != j.streamType {
		return j.recordPossibleCrash(fmt.Sprintf("endpoint %s continued the stream with a body of type %q", c.endpoint.ID, resp.Header.Get("Content-Type")), nil)
	}
	j.isRest = max(j.lastEvent, j.params.LastEvent) > 0
	source := j.newEventReader(resp)
	defer source.held.release()
	first := true
	for {
		event, err := source.next()
		if errors.Is(err, io.EOF) {
			if first {
				j.suspectCrash(c, err)
			}
			return j.endStream(first, c, resp)
		}
		if err != nil {
			if errors.Is(context.Cause(ctx), errCutOff) {
				j.partial = source.isPartial()
				return j.breakForCut(c)
			}
			if ctx.Err() != nil {
				return false, errTimeout
			}
			j.partial = source.isPartial()
			if errors.Is(err, errHeldMemory) {
				// It tells of the memory of this host, and not of the request.
				return j.route.Retryable(), newRejection(http.StatusBadGateway, 0, "endpoint %s, after event %d: %v", c.endpoint.ID, j.lastEvent, err)
			}
			j.recordUnreachable(c, err)
			j.suspectCrash(c, err)
			return j.recordPossibleCrash(fmt.Sprintf("endpoint %s broke off after event %d: %v", c.endpoint.ID, j.lastEvent, err), err)
		}
		if err := j.checkEvent(event); err != nil {
			// What was sent instead of an event may also have cut one off.
			j.partial = true
			return j.recordPossibleCrash(fmt.Sprintf("endpoint %s: %v", c.endpoint.ID, err), nil)
		}
		j.r.cfg.Reach.RecordReached(j.serviceName, j.r.cfg.Clock.Boot())
		if first {
			first = false
			tracked.MarkRunning()
			if fault := j.recordOrigin(ctx, c); fault != nil {
				return false, fault
			}
			j.recordStored(c)
			j.recordFirstEvent(c, sent)
		}
		j.recordProgress()
		j.renewOrigin()
		if err := j.writeEvent(resp, event); err != nil {
			return false, newRejection(http.StatusBadGateway, 0, "client did not take event: %v", err)
		}
	}
}

// endStream records the result of a stream that the endpoint ended after an event, or without any
// if isEmpty is set: all of the stream may have been sent before.
func (j *job) endStream(isEmpty bool, c choice, resp *conns.Response) (retry bool, fault *rejection) {
	switch {
	case isEmpty && (!j.started || j.partial || resp.Unframed):
		return j.recordPossibleCrash(fmt.Sprintf("endpoint %s sent no event", c.endpoint.ID), nil)
	case isEmpty:
		// The endpoint had nothing to write, so this says nothing of the prompt.
		j.r.cfg.Poison.RecordCompletion(j.fingerprint)
	default:
		j.recordWhole(c, resp)
	}
	j.outcome = "200"
	return false, nil
}

// recordFirstEvent updates the time to the first byte and the speed of the endpoint.
func (j *job) recordFirstEvent(c choice, sent time.Time) {
	if j.firstByte == 0 {
		j.firstByte = j.r.cfg.Clock.Now().Sub(j.start)
		j.r.firstByte.Update(j.firstByte.Seconds())
	}
	j.observeSpeed(c, sent)
}

// checkEvent checks that an event is the next one of the stream. A faulty endpoint may send
// other text, such as the head of another response.
func (j *job) checkEvent(event []byte) error {
	id, ok := eventID(event)
	if !ok {
		return errEventID
	}
	last := max(j.lastEvent, j.params.LastEvent)
	if id != last+1 {
		return fmt.Errorf("event %d follows %d: %w", id, last, errEventOrder)
	}
	j.lastEvent = id
	return nil
}

// writeEvent forwards one event to the client, after the response header if it is
// the first event.
func (j *job) writeEvent(resp *conns.Response, event []byte) error {
	if !j.started {
		j.started = true
		j.streamType = resp.Header.Get("Content-Type")
		j.copyHeader(resp.Header)
		if j.forwardedBy != "" {
			j.w.Header().Set(headerBuild, j.build)
		}
		j.w.WriteHeader(resp.Status)
	}
	if _, err := j.w.Write(event); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if err := http.NewResponseController(j.w).Flush(); err != nil {
		return fmt.Errorf("flush event: %w", err)
	}
	return nil
}
