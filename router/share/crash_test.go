package share

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/VictoriaMetrics/metrics"

	"cicadastand.dev/core/coord/hubs"
	"cicadastand.dev/core/coord/taint"
	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/proto/loadpb"
	"cicadastand.dev/core/state/clock"
)

func newCrashService() *Service {
	self := feed.Host{Name: "h", Address: "127.0.0.1:1"}
	return New(Config{
		Clock: clock.Real{}, Self: self, Hubs: hubs.New(hubs.Config{Self: self}),
		Taint:    taint.New(taint.Config{Retention: time.Minute, Report: func(taint.Change) {}}),
		Interval: time.Second, Logger: hclog.NewNullLogger(), Metrics: metrics.NewSet(),
	})
}

// crashesOf returns the crashes of three endpoints of its own, a second apart, on a part.
func crashesOf(part *loadpb.Taint) []*loadpb.Crash {
	var out []*loadpb.Crash
	for n := range 3 {
		out = append(out, &loadpb.Crash{Endpoint: fmt.Sprint(part.GetId(), n), AgeMs: uint32(1000 * n), Parts: []*loadpb.Taint{part}})
	}
	return out
}

// A host of an older build dismisses the crashes on a part at each first event, though the engine
// crashes right after it. Hosts of this build go on rejecting the part, and still believe it of
// crashes before the first event.
func TestDismissalOfAnOlderBuildCoversCrashesBeforeTheFirstEvent(t *testing.T) {
	is := is.New(t)
	const ran = 10 // ms
	s := newCrashService()
	s.mergeCrashes(crashesOf(&loadpb.Taint{Id: "bad", RanMs: ran}))
	s.mergeCrashes(crashesOf(&loadpb.Taint{Id: "sound"}))
	isRejected := func(part string) bool { return s.cfg.Taint.Check([]string{part}) != nil }
	is.True(isRejected("bad"))
	is.True(isRejected("sound"))
	for _, part := range []string{"bad", "sound"} {
		s.mergeCrashes(crashesOf(&loadpb.Taint{Id: part, Dismissed: true}))
	}
	is.True(isRejected("bad"))
	is.True(!isRejected("sound"))
}

// What one host knows of crashes reaches another whole, and an older build reads the field that
// it knows.
func TestCrashMessagesCarryTimesOfAnswers(t *testing.T) {
	is := is.New(t)
	from, to := newCrashService(), newCrashService()
	const ran = 10 // ms
	for _, part := range []string{"bad", "sound"} {
		from.mergeCrashes(crashesOf(&loadpb.Taint{Id: part, RanMs: ran}))
	}
	from.cfg.Taint.RecordWhole([]string{"sound"}, from.cfg.Clock.Boot())
	to.mergeCrashes(from.crashes())
	is.True(to.cfg.Taint.Check([]string{"bad"}) != nil)
	is.NoErr(to.cfg.Taint.Check([]string{"sound"}))
	for _, c := range from.crashes() {
		for _, p := range c.GetParts() {
			is.Equal(p.GetRanMs(), uint32(ran))
			is.Equal(p.GetDismissed(), p.GetId() == "sound")
		}
	}
}
