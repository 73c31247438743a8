// Package logbuf buffers log lines so that writing one never blocks the caller.
package logbuf

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Writer queues lines for a goroutine that writes them to the output. If the queue is
// full, lines are dropped and counted.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
}

// New returns a writer whose queue holds up to capacity lines.
func New(out io.Writer, capacity int) *Writer {
	w := &Writer{out: out, queue: make(chan []byte, capacity)}
	w.done.Add(1)
	go w.run()
	return w
}

// Write queues a line. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines to the output. Write must not be called after it.
func (w *Writer) Close() {
	close(w.queue)
	w.done.Wait()
}

func (w *Writer) run() {
	defer w.done.Done()
	reported := int64(0)
	for line := range w.queue {
		// There is no other place to report a failed write of the log.
		_, _ = w.out.Write(line)
		if n := w.dropped.Load(); n > reported {
			_, _ = fmt.Fprintf(w.out, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"lines\":%d}\n", n-reported)
			reported = n
		}
	}
}
