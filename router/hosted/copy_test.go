package hosted_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"cicadastand.dev/stand/server"
)

// sendCopies answers each request, and sends a copy of its answer without an ID where the
// answer to the next request on the connection is due.
func sendCopies(conn net.Conn) {
	reader := bufio.NewReader(conn)
	last := ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("X-Request-Id")
		answer := func(head, body string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sX-Response-Seal: s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
		}
		out := answer("X-Request-Id: "+id+"\r\n", "to "+id)
		if last != "" {
			out = answer("", "to "+last) + out
		}
		last = id
		if _, err := io.WriteString(conn, out); err != nil {
			return
		}
	}
}

// The next caller on a connection must not get a late copy of the previous answer, also if
// the copy does not say to which request it belongs.
func TestLateCopyWithoutIDIsNotTheNextAnswer(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	c.startEndpoint("i-1", "shop", "zone-0", server.Config{})
	c.startRawServer("i-1", "shop", sendCopies)
	c.startServing()
	for n := range 5 {
		id := fmt.Sprint("r", n)
		got := c.send(c.hosts[0], "POST", "/order/", id, "key", "x")
		is.Equal(got.status, 200)
		is.Equal(got.body, "to "+id)
	}
}
