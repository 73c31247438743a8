package burst_test

import (
	"testing"

	"github.com/matryer/is"

	"cicadastand.dev/loads/burst"
)

// worth is the value of the answers to a kind of requests.
func worth(r burst.Result, kind int) float64 {
	inTime, late := [2]float64{2.6, 2.5}, [2]float64{1.9, 0.49}
	return inTime[kind]*float64(r.InTime[kind]) + late[kind]*float64(r.Late[kind])
}

// In a burst of long prompts, requests that were sent to full engines had others preempted.
// Their prompts were computed again, and short prompts were late as well.
func TestBurstOfLongPromptsPreemptsFewRequests(t *testing.T) {
	is := is.New(t)
	before, after := burst.Run(false, 2), burst.Run(true, 2)
	t.Logf("without memory: %+v", before)
	t.Logf("with memory:    %+v", after)
	is.True(before.Preempted > 100)
	is.True(after.Preempted*8 < before.Preempted)
	for _, kind := range []int{burst.Long, burst.Short} {
		is.True(after.InTime[kind] >= before.InTime[kind])
		is.True(worth(after, kind) >= worth(before, kind))
	}
	const few = 10 // of 2,800 long prompts
	is.True(after.Lost[burst.Long] <= before.Lost[burst.Long]+few)
	is.True(after.Lost[burst.Short] <= before.Lost[burst.Short])
}
