package retry_test

import (
	"testing"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/retry"
)

func TestRepeatsStayInProportion(t *testing.T) {
	is := is.New(t)
	b := retry.New(retry.DefaultConfig())
	repeats := 0
	for range 1000 {
		b.Deposit()
		for b.TryWithdraw() {
			repeats++
		}
	}
	is.True(repeats <= 83) // the ratio, and the burst once
	is.True(repeats >= 79)
}
