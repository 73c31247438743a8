package retry_test

import (
	"testing"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/retry"
)

func TestRetriesStayWithinRatio(t *testing.T) {
	is := is.New(t)
	b := retry.New(retry.DefaultConfig())
	retries := 0
	for range 1000 {
		b.Deposit()
		for b.TryWithdraw() {
			retries++
		}
	}
	is.True(retries <= 83) // the ratio plus one burst
	is.True(retries >= 79)
}
