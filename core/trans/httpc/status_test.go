package httpc_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/trans/httpc"
)

// A server in trouble sends a status that no response can have. It was taken for a response.
func TestStatusOutsideTheProtocolIsAnError(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "+20"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			url := start(t, &server{answer: "HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nok", pause: 100 * time.Millisecond})
			_, err := post(newClient(), url, 10)
			var invalid *httpc.ErrStatus
			is.True(err != nil)
			is.True(errors.As(err, &invalid))
		})
	}
	is := is.New(t)
	for _, status := range []string{"200", "404", "599"} {
		url := start(t, &server{answer: "HTTP/1.1 " + status + " S\r\nContent-Length: 2\r\n\r\nok"})
		body, err := post(newClient(), url, 10)
		is.NoErr(err)
		is.Equal(body, "ok")
	}
}
