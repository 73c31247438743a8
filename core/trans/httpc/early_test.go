package httpc_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/trans/httpc"
)

// server answers each connection with fixed bytes once it has read the head of a request.
type server struct {
	listener net.Listener
	answer   string
	// pause is the time from the answer to the end of the connection, which is reset if reset is
	// set; readsBody is set if the server reads the body of the request first.
	pause     time.Duration
	reset     bool
	readsBody bool
}

func start(t *testing.T, s *server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s.listener = l
	go s.run()
	return "http://" + l.Addr().String() + "/"
}

func (s *server) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.loop(conn)
	}
}

func (s *server) loop(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if s.readsBody {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	_, _ = io.WriteString(conn, s.answer)
	time.Sleep(s.pause) // until the connection ends
	if s.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

const unframed = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\na part"

func post(client *http.Client, url string, size int) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(make([]byte, size)))
	if err != nil {
		return "", err
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func newClient() *http.Client { return httpc.New(httpc.Config{}) }

// A server answers a long upload at once, without a length, sends a part of the body and resets the
// connection while the upload is written. The part was taken for the whole body.
func TestPartOfABodyIsNotCompleteIfTheUploadIsReset(t *testing.T) {
	for _, size := range []int{10 << 10, 4 << 20} {
		for _, pause := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
			t.Run(fmt.Sprint(size, " ", pause), func(t *testing.T) {
				t.Parallel()
				url := start(t, &server{answer: unframed, pause: pause, reset: true})
				client, taken := newClient(), 0
				for range 50 {
					if _, err := post(client, url, size); err == nil {
						taken++
					}
				}
				if taken > 0 {
					t.Errorf("%d of 50 parts were taken for a whole body", taken)
				}
			})
		}
	}
}

// A body without a length is complete at the end of its connection if the request was sent.
func TestBodyWithoutLengthIsCompleteIfTheUploadWasSent(t *testing.T) {
	is := is.New(t)
	url := start(t, &server{answer: unframed, readsBody: true})
	for range 20 {
		body, err := post(newClient(), url, 4<<20)
		is.NoErr(err)
		is.Equal(body, "a part")
	}
}
