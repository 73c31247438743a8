package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The replayed load: a host sends a few long prompts per second to 18 engines that compute
// 44 tokens per millisecond. Before each engine had ten prompts or more, the host took
// their rate for nearly twice that, and sent prompts to engines where they came late.
func TestRateOfAServiceIsKnownAfterFewPrompts(t *testing.T) {
	is := is.New(t)
	const rate, tokens = 44_000, 9_000
	took := firstTokenOverhead + time.Duration(tokens)*time.Second/rate
	rates := newPrefillRates()
	for n := range 10 {
		rates.observe("engines", fmt.Sprint("e", n), tokens, took)
	}
	for n := range 18 {
		got := rates.rate("engines", fmt.Sprint("e", n))
		is.True(got > 0.9*rate && got < 1.2*rate)
	}
	is.Equal(rates.rate("others", "e99"), float64(initialRate))
}
