package clock_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/state/clock"
)

func TestFakeFiresWhenDue(t *testing.T) {
	is := is.New(t)
	f := clock.NewFake(time.Unix(100, 0))
	tick := f.Subscribe(time.Second)
	once := f.Once(1500 * time.Millisecond)
	f.Advance(time.Second)
	is.Equal(len(tick.C()), 1) // the interval has passed
	is.Equal(len(once.C()), 0) // the delay has not
	f.Advance(time.Second)
	is.Equal(len(once.C()), 1)
	is.Equal(f.Waiting(), 1) // a Once that has fired is removed
	tick.Stop()
	is.Equal(f.Waiting(), 0)
}

func TestWithTimeoutUsesServiceTime(t *testing.T) {
	is := is.New(t)
	f := clock.NewFake(time.Unix(100, 0))
	ctx, cancel := clock.WithTimeout(context.Background(), f, time.Minute)
	defer cancel()
	is.NoErr(ctx.Err())
	f.Advance(time.Minute)
	<-ctx.Done()
	is.True(errors.Is(context.Cause(ctx), context.DeadlineExceeded))
}

func TestDeadlineIsDeferred(t *testing.T) {
	is := is.New(t)
	f := clock.NewFake(time.Unix(100, 0))
	ctx, deadline := clock.WithDeadline(context.Background(), f, time.Minute)
	defer deadline.Stop()
	for range 3 {
		f.Advance(50 * time.Second)
		deadline.Defer(time.Minute)
	}
	is.NoErr(ctx.Err())
	f.Advance(time.Minute)
	<-ctx.Done()
	is.True(errors.Is(context.Cause(ctx), context.DeadlineExceeded))
}
