package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/network"
	"github.com/primroseloom/primroseloom/policy/dispatch"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

// loopbackVM is one VM on the operating system's loopback network. It forwards
// requests with a key of the other VM to peer.
type loopbackVM struct {
	vm
	peer primroseloomv1connect.PeerServiceClient
}

func (v *loopbackVM) Client(string) (primroseloomv1connect.PeerServiceClient, bool) {
	return v.peer, v.peer != nil
}

func (v *loopbackVM) Members() []*primroseloomv1.Member { return []*primroseloomv1.Member{v.self} }

// pooledTargets sends each attempt through net/http's transport, which is enough
// for benchmarks without faults.
type pooledTargets struct {
	transport *http.Transport
	target    document.Target
}

func (p pooledTargets) Acquire(context.Context, contract.AcquireRequest) (contract.SlotLease, error) {
	return p, nil
}
func (p pooledTargets) Target() document.Target { return p.target }
func (p pooledTargets) RoundTrip(r *http.Request) (*http.Response, error) {
	trip := contract.RoundTripFrom(r.Context())
	if err := trip.BeforeWrite(); err != nil {
		return nil, err
	}
	trip.MarkWritten()
	return p.transport.RoundTrip(r)
}
func (p pooledTargets) Done(contract.AttemptResult) {}

func serveLoopback(b *testing.B, handler http.Handler) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := NewServer(handler, ServerLimits{HeaderBytes: 32 << 10})
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// startPair starts a forwarding VM and a dispatcher with one target.
func startPair(b *testing.B) (front, back string, dispatcher *loopbackVM) {
	target := serveLoopback(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(CorrelationHeader, r.Header.Get(CorrelationHeader))
		_, _ = io.WriteString(w, "whole")
	}))
	build := func(name string, instance uint64) (*loopbackVM, *Proxy) {
		v := &loopbackVM{}
		v.self = &primroseloomv1.Member{Vm: name, Instance: instance}
		v.clock = newFakeClock()
		definition := document.Target{Name: "t0", Address: target, Zone: "z"}
		p := New(Options{
			Fleet: "test", Configuration: fixedConfiguration{testSnapshot(oneTarget())},
			Targets: pooledTargets{&http.Transport{MaxIdleConnsPerHost: 256}, definition},
			Members: v, Network: network.OS{}, Clock: v.clock, Limits: DefaultLimits(),
		})
		return v, p
	}
	dispatcher, backProxy := build("vm-1", 2)
	forwarder, frontProxy := build("vm-0", 1)
	mux := http.NewServeMux()
	mux.Handle(primroseloomv1connect.NewPeerServiceHandler(peerService{proxy: backProxy}, connect.WithCompressMinBytes(16<<10)))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	forwarder.peer = primroseloomv1connect.NewPeerServiceClient(client, "http://"+serveLoopback(b, mux))
	return serveLoopback(b, frontProxy), serveLoopback(b, backProxy), dispatcher
}

// benchmarkPosts sends bookings to an address from several callers in parallel.
func benchmarkPosts(b *testing.B, address string, key func(n int64) string) {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	var sent atomic.Int64
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			request, _ := http.NewRequest("POST", "http://"+address+"/book", strings.NewReader("order"))
			request.Host = "booking.test"
			request.Header.Set(CredentialHeader, "secret-a")
			if key != nil {
				request.Header.Set(KeyHeader, key(sent.Add(1)))
			}
			response, err := transport.RoundTrip(request)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode != 200 {
				b.Errorf("status %d", response.StatusCode)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// keyedInterval is the time that passes on the dispatcher's clock for each keyed
// request. Without it, too many requests would fall into one window and exceed the
// number of records that a VM keeps for one customer.
const keyedInterval = 10 * time.Millisecond

func keyGenerator(v *loopbackVM) func(n int64) string {
	return func(n int64) string {
		v.clock.suspended.Add(int64(keyedInterval))
		return dispatch.Prefix("vm-1", 2, dispatch.WindowAt(v.clock.Uptime())) + strconv.FormatInt(n, 10)
	}
}

func BenchmarkPlainBooking(b *testing.B) {
	_, back, _ := startPair(b)
	benchmarkPosts(b, back, nil)
}

func BenchmarkKeyedBooking(b *testing.B) {
	_, back, v := startPair(b)
	benchmarkPosts(b, back, keyGenerator(v))
}

func BenchmarkForwardedBooking(b *testing.B) {
	front, _, v := startPair(b)
	benchmarkPosts(b, front, keyGenerator(v))
}
