package relay

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"cicadastand.dev/core/coord/taint"
	"cicadastand.dev/core/state/site"
)

// A request waits for room or a permit while the part of its prompt is rejected. It is not sent
// afterwards.
func TestPartThatIsRejectedDuringAWaitIsNotSent(t *testing.T) {
	is := is.New(t)
	table := taint.New(taint.Config{Retention: time.Minute, Report: func(taint.Change) {}})
	j := &job{
		r:       &Relay{cfg: Config{Taint: table}, tainted: metrics.NewSet().NewCounter("tainted")},
		service: &site.Service{Engine: &site.Engine{}}, shared: []string{"document"},
	}
	is.True(j.checkParts() == nil)
	for n := range 3 {
		table.RecordCrash(taint.Crash{Endpoint: fmt.Sprint("e", n), Parts: j.shared, At: time.Hour}, time.Hour)
	}
	fault := j.checkChoice(choice{endpoint: &site.Endpoint{}})
	is.Equal(fault.status, http.StatusServiceUnavailable)
	is.Equal(fault.reason, "part document of the prompt crashed 3 engines")
}
