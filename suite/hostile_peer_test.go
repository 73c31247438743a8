package suite

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	// longCalls is the number of calls that one client of the port for hosts begins, and
	// longMessage the announced length of the message of each. manyCalls and shortMessage are
	// those with messages in which a legal request fits.
	longCalls    = 8
	longMessage  = 60 << 20
	manyCalls    = 16
	shortMessage = 5 << 20
	// messagePiece is the size of a data frame.
	messagePiece = 16 << 10
)

func sendLongMessages(h *hostUnderTest, conn net.Conn) error {
	return sendMessages(h, conn, longCalls, longMessage)
}

func sendManyMessages(h *hostUnderTest, conn net.Conn) error {
	return sendMessages(h, conn, manyCalls, shortMessage)
}

// sendMessages begins calls at the port for other hosts and sends their messages, but the last
// pieces. It sends as the windows of the host allow, until a write fails.
func sendMessages(h *hostUnderTest, conn net.Conn, calls, size int) error {
	if _, err := io.WriteString(conn, http2.ClientPreface); err != nil {
		return err
	}
	framer := http2.NewFramer(conn, conn)
	if err := framer.WriteSettings(); err != nil {
		return err
	}
	for call := range calls {
		var head bytes.Buffer
		enc := hpack.NewEncoder(&head)
		for _, f := range [][2]string{
			{":method", "POST"}, {":scheme", "http"}, {":path", h.peerMethod}, {":authority", h.peers},
			{"content-type", "application/grpc"}, {"te", "trailers"},
		} {
			if err := enc.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]}); err != nil {
				return err
			}
		}
		if err := framer.WriteHeaders(http2.HeadersFrameParam{StreamID: streamID(call), BlockFragment: head.Bytes(), EndHeaders: true}); err != nil {
			return err
		}
	}
	return newMessageSender(framer, calls, size).run()
}

func streamID(call int) uint32 { return uint32(2*call + 1) }

// messageSender sends the messages of all calls of a connection, within the windows.
type messageSender struct {
	framer *http2.Framer
	// connWindow and windows are the bytes that may be sent on the connection and in each call.
	connWindow int
	windows    map[uint32]int
	// left is what is left of each message, and size its announced length.
	left map[uint32]int
	size int
}

func newMessageSender(framer *http2.Framer, calls, size int) *messageSender {
	const defaultWindow = 65535
	s := &messageSender{framer: framer, connWindow: defaultWindow, windows: make(map[uint32]int), left: make(map[uint32]int), size: size}
	for call := range calls {
		s.windows[streamID(call)], s.left[streamID(call)] = defaultWindow, size
	}
	return s
}

// run sends until the connection fails or no call is left.
func (s *messageSender) run() error {
	for len(s.windows) > 0 {
		sent := false
		for id := range s.windows {
			ok, err := s.sendPiece(id)
			if err != nil {
				return err
			}
			sent = sent || ok
		}
		if !sent {
			if err := s.readFrame(); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *messageSender) sendPiece(id uint32) (bool, error) {
	if s.windows[id] < messagePiece || s.connWindow < messagePiece || s.left[id] <= messagePiece {
		return false, nil
	}
	piece := make([]byte, messagePiece)
	if s.left[id] == s.size {
		binary.BigEndian.PutUint32(piece[1:], uint32(s.size)) // the length prefix of a message
	}
	s.left[id] -= messagePiece
	s.windows[id] -= messagePiece
	s.connWindow -= messagePiece
	return true, s.framer.WriteData(id, false, piece)
}

func (s *messageSender) readFrame() error {
	frame, err := s.framer.ReadFrame()
	if err != nil {
		return err
	}
	switch f := frame.(type) {
	case *http2.WindowUpdateFrame:
		if f.StreamID == 0 {
			s.connWindow += int(f.Increment)
		} else if _, ok := s.windows[f.StreamID]; ok {
			s.windows[f.StreamID] += int(f.Increment)
		}
	case *http2.SettingsFrame:
		if !f.IsAck() {
			return s.framer.WriteSettingsAck()
		}
	case *http2.PingFrame:
		if !f.IsAck() {
			return s.framer.WritePing(true, f.Data)
		}
	case *http2.RSTStreamFrame:
		delete(s.windows, f.StreamID)
	case *http2.HeadersFrame:
		delete(s.windows, f.StreamID)
	case *http2.GoAwayFrame:
		return io.EOF
	}
	return nil
}
