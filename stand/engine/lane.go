package engine

import (
	"container/list"
	"context"
	"fmt"
	"sync"
)

// lane admits a bounded number of holders, urgent waiters first.
type lane struct {
	mu     sync.Mutex
	free   int
	urgent *list.List
	other  *list.List
}

func newLane(n int) *lane {
	return &lane{free: n, urgent: list.New(), other: list.New()}
}

// acquire waits for a place until ctx ends.
func (l *lane) acquire(ctx context.Context, urgent bool) error {
	l.mu.Lock()
	if l.free > 0 {
		l.free--
		l.mu.Unlock()
		return nil
	}
	queue := l.other
	if urgent {
		queue = l.urgent
	}
	ready := make(chan struct{})
	elem := queue.PushBack(ready)
	l.mu.Unlock()
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		l.leave(queue, elem, ready)
		return fmt.Errorf("wait for a place: %w", ctx.Err())
	}
}

func (l *lane) leave(queue *list.List, elem *list.Element, ready chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-ready:
		l.pass()
	default:
		queue.Remove(elem)
	}
}

func (l *lane) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pass()
}

// pass hands the place to the next waiter; the caller holds the lock.
func (l *lane) pass() {
	queue := l.urgent
	if queue.Len() == 0 {
		queue = l.other
	}
	front := queue.Front()
	if front == nil {
		l.free++
		return
	}
	ready, _ := queue.Remove(front).(chan struct{})
	close(ready)
}

// waiting returns the number of waiters.
func (l *lane) waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.urgent.Len() + l.other.Len()
}
