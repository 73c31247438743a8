package claim_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"cicadastand.dev/core/coord/claim"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/ledger"
	"cicadastand.dev/core/state/stream"
)

var start = time.Unix(1_000_000, 0).UTC()

// fakeLog passes each append to a coordinator. It can be unavailable or lose responses.
type fakeLog struct {
	mu            sync.Mutex
	target        *claim.Coordinator
	clock         *clock.Fake
	offset        uint64
	appends       int
	loseResponses int
	unavailable   bool
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if l.unavailable {
		return 0, errors.New("log unavailable")
	}
	l.offset++
	l.target.Apply([]stream.Record{{Offset: l.offset, Time: l.clock.Now(), Data: data}})
	if l.loseResponses > 0 {
		l.loseResponses--
		return 0, errors.New("response lost")
	}
	return l.offset, nil
}

func (l *fakeLog) setUnavailable(unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
}

// newCoordinator returns a coordinator on a fake clock, with Run in a goroutine.
func newCoordinator(t *testing.T, log *fakeLog) (*claim.Coordinator, *clock.Fake) {
	fake := clock.NewFake(start)
	c := claim.New(claim.Config{Clock: fake, Log: log, Ledger: ledger.DefaultConfig(), Logger: hclog.NewNullLogger()})
	log.target, log.clock = c, fake
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		goleak.VerifyNone(t)
	})
	return c, fake
}

func call(key string) claim.Call {
	return claim.Call{ID: ledger.ID{Key: key}, Digest: "d", Created: start}
}

func TestAttemptSendsOnceOrNever(t *testing.T) {
	is := is.New(t)
	c, _ := newCoordinator(t, &fakeLog{})
	a, err := c.Begin(context.Background(), call("k"))
	is.NoErr(err)
	is.True(a.MarkSending())
	is.True(!a.MarkSending()) // never twice
	_, ok := a.Abandon()
	is.True(!ok) // a call that may have been sent is never reported as not run
	_, err = c.Begin(context.Background(), call("k"))
	is.True(claim.IsErrHeld(err))
	a.Complete(ledger.Outcome{Status: 201})
	entry, err := c.Await(context.Background(), ledger.ID{Key: "k"})
	is.NoErr(err)
	is.Equal(entry.Outcome.Status, 201)

	b, err := c.Begin(context.Background(), call("other"))
	is.NoErr(err)
	_, ok = b.Abandon()
	is.True(ok)
	is.True(!b.MarkSending()) // abandoning is final
	again, err := c.Begin(context.Background(), call("other"))
	for claim.IsErrHeld(err) { // until the release is in the log
		again, err = c.Begin(context.Background(), call("other"))
	}
	is.NoErr(err)
	is.True(again.FencingToken() > b.FencingToken())
}

// If the response to an append is lost, the verdict is still read from the log.
func TestLostAppendResponseIsResolvedFromLog(t *testing.T) {
	is := is.New(t)
	log := &fakeLog{loseResponses: 1}
	c, _ := newCoordinator(t, log)
	a, err := c.Begin(context.Background(), call("k"))
	is.NoErr(err)
	is.True(a.MarkSending())
}

func TestUndecidedClaimIsWithdrawn(t *testing.T) {
	is := is.New(t)
	log := &fakeLog{unavailable: true}
	c, fake := newCoordinator(t, log)
	ctx, cancel := clock.WithTimeout(context.Background(), fake, time.Second)
	defer cancel()
	done := make(chan error)
	go func() {
		_, err := c.Begin(ctx, call("k"))
		done <- err
	}()
	for c.Stats().Attempts == 0 {
		time.Sleep(time.Millisecond) // until the goroutines have made progress
	}
	fake.Advance(time.Second)
	is.True(claim.IsErrNotRun(<-done))
	log.setUnavailable(false)
	drained := make(chan bool)
	go func() { drained <- c.Drain(context.Background()) }()
	for ok := false; !ok; {
		fake.Advance(time.Second) // the backoff passes
		select {
		case <-drained:
			ok = true
		case <-time.After(time.Millisecond):
		}
	}
	entry, _ := c.Entry(ledger.ID{Key: "k"})
	is.True(entry.Phase != ledger.PhaseHeld)
}

func TestClaimsAreAppendedInBatches(t *testing.T) {
	is := is.New(t)
	log := &fakeLog{unavailable: true}
	c, fake := newCoordinator(t, log)
	var done sync.WaitGroup
	for i := range 200 {
		done.Go(func() {
			if _, err := c.Begin(context.Background(), call(string(rune('a'+i)))); err != nil {
				t.Error(err)
			}
		})
	}
	for c.Stats().Attempts < 200 {
		time.Sleep(time.Millisecond) // until the goroutines have made progress
	}
	log.setUnavailable(false)
	before := log.appends
	for c.Stats().Queued > 0 {
		fake.Advance(time.Second)
		time.Sleep(time.Millisecond) // until the goroutines have made progress
	}
	done.Wait()
	is.True(log.appends-before <= 4)
}

// If claims were trimmed before they were read, new claims can't be judged until the
// windows of the trimmed ones have passed.
func TestTrimmedClaimsBlockNewOnes(t *testing.T) {
	is := is.New(t)
	log := &fakeLog{offset: 9}
	c, fake := newCoordinator(t, log)
	c.Trimmed(10)
	_, err := c.Begin(context.Background(), call("k"))
	is.True(claim.IsErrNotRun(err)) // a trimmed claim for the key may still be in its window
	c.Apply([]stream.Record{{Offset: 10, Time: start, Data: []byte("[]")}})
	log.offset = 10
	is.True(c.Stats().RetentionTooShort)
	fake.Advance(ledger.Window + ledger.Skew)
	is.True(!c.Stats().RetentionTooShort)
	fresh := call("k")
	fresh.Created = fake.Now()
	_, err = c.Begin(context.Background(), fresh)
	is.NoErr(err)
}
