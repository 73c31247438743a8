package relay

import (
	"fmt"
	"io"
	"net/http"
)

const (
	// maxBufferedResponse limits the body, in bytes, of a response that is read in full
	// before it is forwarded, so that the request can be retried if the endpoint
	// disconnects. A longer body is forwarded as it arrives.
	maxBufferedResponse = 256 << 10
	// maxResponse limits the body, in bytes, of any response: a faulty endpoint may send
	// a body without end.
	maxResponse = 256 << 20
)

// response is an endpoint's response.
type response struct {
	status int
	header http.Header
	body   []byte
	// length is the length of the body, or -1 if it is not known.
	length int64
	// rest is what follows body; nil if body is complete.
	rest io.Reader
}

// saysNotRun reports whether clients take a status as proof that the request did not run.
func saysNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// mayHaveRun reports whether an endpoint may have run the request, or may run it yet: this host, the
// one that forwarded the request or the one that serves it instead has sent it.
func (j *job) mayHaveRun() bool { return j.attempts > 0 || j.mayRunElsewhere }

var errResponseTooLong = fmt.Errorf("response body is longer than %d bytes", maxResponse)

// writeResponse forwards an endpoint's response to the client. A status that clients
// take as proof that the request did not run is replaced, since this request did run. It
// returns an error if the endpoint did not complete the body.
func (j *job) writeResponse(resp *response) error {
	if saysNotRun(resp.status) {
		j.reject(newRejection(http.StatusBadGateway, 0, "endpoint %s ran the request and answered %d", j.endpoint, resp.status))
		return nil
	}
	j.copyHeader(resp.header)
	if resp.length >= 0 {
		j.w.Header().Set("Content-Length", fmt.Sprint(resp.length))
	}
	j.outcome = fmt.Sprint(resp.status)
	j.firstByte = j.r.cfg.Clock.Now().Sub(j.start)
	j.w.WriteHeader(resp.status)
	if _, err := j.w.Write(resp.body); err != nil {
		j.reason = "writing the response to the client failed: " + err.Error()
		return nil
	}
	if resp.rest == nil {
		return nil
	}
	j.started = true
	return j.forwardRest(resp.rest)
}

// copyHeader copies the header of a response to that of the client's response.
func (j *job) copyHeader(from http.Header) {
	h := j.w.Header()
	closing := h.Get("Connection")
	j.r.cfg.Codec.CopyHeader(h, from)
	if closing != "" {
		h.Set("Connection", closing)
	}
}

// forwardRest forwards the rest of a long body as it arrives.
func (j *job) forwardRest(rest io.Reader) error {
	limited := &io.LimitedReader{R: rest, N: maxResponse}
	_, err := io.Copy(clientWriter{j}, limited)
	switch {
	case j.reason != "":
		return nil
	case err != nil:
		return fmt.Errorf("read body: %w", err)
	case limited.N == 0:
		return errResponseTooLong
	default:
		return nil
	}
}

// clientWriter writes to the client and records an error as the reason of the outcome, to
// tell it from an error of the endpoint.
type clientWriter struct{ j *job }

// Write implements io.Writer.
func (w clientWriter) Write(p []byte) (int, error) {
	n, err := w.j.w.Write(p)
	if err != nil {
		w.j.reason = "writing the response to the client failed: " + err.Error()
	}
	return n, err
}
