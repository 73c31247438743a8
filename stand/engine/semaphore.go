package engine

import (
	"container/list"
	"context"
	"fmt"
	"sync"
)

// semaphore limits the number of concurrent holders and admits urgent waiters first.
type semaphore struct {
	mu     sync.Mutex
	free   int
	urgent *list.List
	other  *list.List
}

func newSemaphore(n int) *semaphore {
	return &semaphore{free: n, urgent: list.New(), other: list.New()}
}

// acquire waits for a slot until ctx ends.
func (s *semaphore) acquire(ctx context.Context, urgent bool) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return nil
	}
	queue := s.other
	if urgent {
		queue = s.urgent
	}
	ready := make(chan struct{})
	elem := queue.PushBack(ready)
	s.mu.Unlock()
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		s.cancelWait(queue, elem, ready)
		return fmt.Errorf("wait for a slot: %w", ctx.Err())
	}
}

// cancelWait removes a waiter. If it got a slot meanwhile, the slot goes to the next one.
func (s *semaphore) cancelWait(queue *list.List, elem *list.Element, ready chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-ready:
		s.handOver()
	default:
		queue.Remove(elem)
	}
}

func (s *semaphore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handOver()
}

// handOver gives the slot to the next waiter, or frees it. The caller holds the lock.
func (s *semaphore) handOver() {
	queue := s.urgent
	if queue.Len() == 0 {
		queue = s.other
	}
	front := queue.Front()
	if front == nil {
		s.free++
		return
	}
	ready, _ := queue.Remove(front).(chan struct{})
	close(ready)
}

// waiting returns the number of waiters.
func (s *semaphore) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.urgent.Len() + s.other.Len()
}
