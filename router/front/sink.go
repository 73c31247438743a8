package front

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"cicadastand.dev/core/proto/openai"
	"cicadastand.dev/router/send"
)

// sink writes the response to a caller.
type sink interface {
	send.Sink
	// started reports whether a part of the response was written.
	started() bool
	// finish ends a complete response.
	finish(x *exchange) error
	// fail ends a response that can't be completed.
	fail(x *exchange, e *openai.Error)
}

// bufferedSink collects the events of a completion and writes one JSON response.
type bufferedSink struct {
	collector *openai.Collector
}

func (s *bufferedSink) Event(_ context.Context, _ int, data []byte) error {
	if string(data) == openai.Done {
		return nil
	}
	return s.collector.Add(data)
}

func (s *bufferedSink) started() bool { return false }

func (s *bufferedSink) finish(x *exchange) error { return x.writeJSON(s.collector.Completion()) }

func (s *bufferedSink) fail(*exchange, *openai.Error) {}

// streamSink forwards each event as a server-sent event when it arrives.
type streamSink struct {
	x          *exchange
	out        *http.ResponseController
	headerSent bool
}

func newStreamSink(x *exchange) *streamSink {
	return &streamSink{x: x, out: http.NewResponseController(x.w)}
}

// Event writes one event to the caller. The first one is preceded by the headers.
func (s *streamSink) Event(_ context.Context, number int, data []byte) error {
	if !s.headerSent {
		s.headerSent = true
		s.x.w.Header().Set("Content-Type", "text/event-stream")
		s.x.w.Header().Set("Cache-Control", "no-store")
		s.x.w.WriteHeader(http.StatusOK)
	}
	return s.write(fmt.Sprintf("id: %d\ndata: %s\n\n", number, data))
}

func (s *streamSink) write(text string) error {
	if _, err := s.x.w.Write([]byte(text)); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if err := s.out.Flush(); err != nil {
		return fmt.Errorf("flush event: %w", err)
	}
	return nil
}

func (s *streamSink) started() bool { return s.headerSent }

func (s *streamSink) finish(*exchange) error { return nil }

// fail ends the stream with an error event.
func (s *streamSink) fail(x *exchange, e *openai.Error) {
	data, err := json.Marshal(openai.ErrorBody{Error: e})
	if err != nil {
		x.log.Error("failed to encode error event", "error", err)
		return
	}
	if err := s.write(fmt.Sprintf("event: error\ndata: %s\n\n", data)); err != nil {
		x.log.Debug("failed to write error event", "error", err)
	}
}
