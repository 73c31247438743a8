package share_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"google.golang.org/grpc"

	"cicadastand.dev/core/proto/call"
	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/proto/loadpb"
)

// One of two other hosts accepts connections and says nothing, as one that is partitioned may
// seem to. Requests are served by the other one, without a long wait.
func TestRequestIsNotForwardedToASilentHost(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	hosts := domainHosts(t)[:3]
	hosts[2].Address = silent.Addr().String()
	first := startHost(t, hosts, 0, metrics.NewSet())
	startHost(t, hosts, 1, metrics.NewSet())
	for range 20 {
		started := time.Now()
		resp, err := first.Forward(context.Background(), call.Forwarded{Method: "GET", URI: "/", Body: []byte("x"), Timeout: time.Second})
		is.NoErr(err)
		is.Equal(resp.Host, hosts[1].Name)
		is.Equal(resp.Status, http.StatusTeapot)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(body), "answer to x")
		is.NoErr(resp.Body.Close())
		is.True(time.Since(started) < time.Second)
	}
}

// Hosts of the previous release run beside this one. They hold no copies of origins, which must not
// keep streams from beginning, and say that they can't tell where one began.
func TestHostOfThePreviousReleaseHoldsNoCopies(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	previous := grpc.NewServer()
	loadpb.RegisterLoadServer(previous, loadpb.UnimplementedLoadServer{})
	go func() { _ = previous.Serve(l) }()
	t.Cleanup(previous.Stop)
	hosts := domainHosts(t)[:2]
	hosts[1].Address = l.Addr().String()
	first := startHost(t, hosts, 0, metrics.NewSet())
	is.NoErr(first.CopyOrigins(context.Background(), []feed.Origin{{Stream: 1, Build: "v2"}}))
	said := first.AskOrigin(context.Background(), "engines", 1)
	is.Equal(len(said), 2)
	is.True(said[1].IsUnable && !said[1].HasBuild)
}
