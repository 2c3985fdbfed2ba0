package crashes

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/policy/quarantine"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

// TestEvidenceArrivesWithoutDatagrams guards against evidence that stays at the VM that found
// it while no datagram arrives at all, since no VM hears of a difference.
func TestEvidenceArrivesWithoutDatagrams(t *testing.T) {
	withTrackers(t, 34, func(f *trackerFleet) {
		f.setLossShare(1)
		for i := range 2 {
			f.vms[2+i].crash(request7, "t"+strconv.Itoa(i))
		}
		f.expectRefused("without datagrams", 9*time.Second, true)
	})
}

// TestNoPullWhileDatagramsArrive guards against calls at intervals on days without losses, also
// while there is news, and on links that lose one datagram in twenty.
func TestNoPullWhileDatagramsArrive(t *testing.T) {
	for _, lossShare := range []float64{0, 0.05} {
		withTrackers(t, 34, func(f *trackerFleet) {
			time.Sleep(time.Second) // the first heartbeats have arrived
			f.setLossShare(lossShare)
			for i := range 15 {
				if lossShare == 0 {
					f.vms[i].crash(numberedRequest(i), "t0")
				}
				time.Sleep(2 * time.Second)
			}
			if calls := f.callsSoFar(); calls != 0 {
				t.Errorf("%d calls at a loss of %v", calls, lossShare)
			}
		})
	}
}

// TestPullsAreRareWhileNoDatagramArrivesForLong guards against VMs that load the primary VMs
// with calls for as long as no datagram arrives.
func TestPullsAreRareWhileNoDatagramArrivesForLong(t *testing.T) {
	const others = 34
	withTrackers(t, others, func(f *trackerFleet) {
		f.setLossShare(1)
		time.Sleep(time.Minute)
		before := f.callsSoFar()
		time.Sleep(4 * slowPullDelay)
		if calls := f.callsSoFar() - before; calls > 4*len(f.vms) || calls < 2*len(f.vms) {
			t.Errorf("%d VMs made %d calls in %v", len(f.vms), calls, 4*slowPullDelay)
		}
	})
}

// TestPullsOfAVMThatIsCutOffAreRare guards against calls without end to VMs that do not answer.
func TestPullsOfAVMThatIsCutOffAreRare(t *testing.T) {
	withTrackers(t, 4, func(f *trackerFleet) {
		time.Sleep(time.Second)
		f.setCut(f.vms[4], true)
		time.Sleep(4 * slowPullDelay)
		if calls := f.callsSoFar(); calls > 4*2+2 {
			t.Errorf("%d calls in %v", calls, 4*slowPullDelay)
		}
		f.setCut(f.vms[4], false)
	})
}

// TestZoneThatTellsNothingIsAsked guards against a zone whose datagrams are all lost and that is
// taken to agree, since other zones do.
func TestZoneThatTellsNothingIsAsked(t *testing.T) {
	r, now := newReconciler(), time.Hour
	peers := []Peer{{"vm-1", "a"}, {"vm-2", "b"}}
	asked := 0
	for end := now + pullDelay + pullDelay/pullJitterShare + 100*time.Millisecond; now < end; now += 100 * time.Millisecond {
		r.heard("vm-1", 1, 1, now)
		r.heard("vm-2", 1, 0, now)
		vm, ok := r.duePull(1, peers, now)
		if vm == "vm-1" {
			t.Fatal("a VM that agrees is asked")
		}
		if ok {
			asked++
		}
	}
	if asked != 1 {
		t.Errorf("asked %d times", asked)
	}
}

// TestVMThatDoesNotAnswerIsNotAskedAgainSoon guards against calls to VMs of older builds, which
// do not know the call, or to VMs that have ended.
func TestVMThatDoesNotAnswerIsNotAskedAgainSoon(t *testing.T) {
	r, now := newReconciler(), time.Hour
	peers := []Peer{{"vm-1", "a"}}
	asked := 0
	for end := now + 2*time.Minute; now < end; now += 100 * time.Millisecond {
		if vm, ok := r.duePull(1, peers, now); ok {
			asked++
			r.pullFailed(vm, now)
		}
	}
	if most := int(2 * time.Minute / slowPullDelay); asked > most || asked < 2 {
		t.Errorf("asked %d times, at most %d wanted", asked, most)
	}
}

// evidenceClients connects all VMs to one server.
type evidenceClients struct {
	primroseloomv1connect.EvidenceServiceClient
}

func (c evidenceClients) Evidence(string) (primroseloomv1connect.EvidenceServiceClient, bool) {
	return c.EvidenceServiceClient, true
}

// TestPullReturnsEvidenceOnlyIfDigestsDiffer guards against pulls that carry all evidence while
// all VMs know the same, and against full calls that tell nothing.
func TestPullReturnsEvidenceOnlyIfDigestsDiffer(t *testing.T) {
	uptime := func() time.Duration { return time.Hour }
	withTrackers(t, 0, func(f *trackerFleet) {
		server, caller := f.vms[0], f.vms[1]
		f.setCut(caller, true)
		server.crash(request7, "t0")
		caller.crash(numberedRequest(8), "t0")
		_, handler := server.Handler("f")
		peers := evidenceClients{primroseloomv1connect.NewEvidenceServiceClient(handlerClient{handler}, "http://server")}
		pull, reconcile := Pull("f", "vm-1", peers, uptime), Reconcile("f", "vm-1", peers, uptime)
		got, err := pull(t.Context(), "vm-0", server.Digest())
		if err != nil || len(got.Evidence) != 0 || got.Digest != server.Digest() {
			t.Errorf("equal digests: %+v, %v", got, err)
		}
		got, err = pull(t.Context(), "vm-0", caller.Digest())
		if err != nil || len(got.Evidence) != 1 || got.Evidence[0].Fingerprint != request7.Exact() {
			t.Errorf("digests that differ: %+v, %v", got, err)
		}
		// a caller of the build before sends no digest
		got, err = reconcile(t.Context(), "vm-0", nil)
		if err != nil || len(got.Evidence) != 1 {
			t.Errorf("a call without a digest: %+v, %v", got, err)
		}
		f.setCut(caller, false)
	})
}

// TestPullFromAnOlderBuild guards against evidence that does not arrive, or errors, when the
// VM that is asked doesn't read the digest or doesn't know the call.
func TestPullFromAnOlderBuild(t *testing.T) {
	uptime := func() time.Duration { return time.Hour }
	withTrackers(t, 0, func(f *trackerFleet) {
		server := f.vms[0]
		server.crash(request7, "t0")
		_, handler := server.Handler("f")
		ignoresDigest := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			r.Header.Del(digestHeader)
			handler.ServeHTTP(w, r)
		})
		got, err := Pull("f", "vm-1", evidenceClients{primroseloomv1connect.NewEvidenceServiceClient(handlerClient{ignoresDigest}, "http://server")}, uptime)(t.Context(), "vm-0", server.Digest())
		if err != nil || len(got.Evidence) != 1 || got.Digest != server.Digest() {
			t.Errorf("a build that does not read the digest: %+v, %v", got, err)
		}
		_, err = Pull("f", "vm-1", evidenceClients{primroseloomv1connect.NewEvidenceServiceClient(handlerClient{http.NotFoundHandler()}, "http://server")}, uptime)(t.Context(), "vm-0", 1)
		if connect.CodeOf(errors.Unwrap(err)) != connect.CodeUnimplemented {
			t.Errorf("a build without the call: %v", err)
		}
	})
}

// handlerClient passes requests to a handler without a network.
type handlerClient struct{ handler http.Handler }

func (c handlerClient) Do(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	c.handler.ServeHTTP(recorder, request)
	response := recorder.Result()
	response.Request = request
	return response, nil
}

// TestBytesOfAPull measures a pull between VMs that know the same, over a connection that is
// open already, and bounds it: it is made for as long as no datagram arrives.
func TestBytesOfAPull(t *testing.T) {
	const pulls, maxBytes = 50, 200
	tracker := New(Options{Relays: func() bool { return true }, Uptime: func() time.Duration { return time.Hour }, Logger: log.New(io.Discard), Scope: tally.NoopScope})
	tracker.UseNotifier(func() {})
	for i := range 100 {
		tracker.table.RecordCrash(numberedRequest(i), "", quarantine.Crash{Target: "t1", Incarnation: 1, At: time.Hour}, time.Hour)
	}
	path, handler := tracker.Handler("f")
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()
	var bytes atomic.Int64
	transport := &http.Transport{Protocols: server.Config.Protocols, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return countingConn{conn, &bytes}, err
	}}
	defer transport.CloseIdleConnections()
	peers := evidenceClients{primroseloomv1connect.NewEvidenceServiceClient(&http.Client{Transport: transport}, server.URL)}
	pull := Pull("f", "vm-1", peers, tracker.options.Uptime)
	before := int64(0)
	for i := range pulls + 1 {
		if i == 1 {
			before = bytes.Load()
		}
		if got, err := pull(t.Context(), "vm-0", tracker.Digest()); err != nil || len(got.Evidence) != 0 {
			t.Fatalf("pull: %+v, %v", got, err)
		}
	}
	each := (bytes.Load() - before) / pulls
	t.Logf("%d bytes a pull, both ways", each)
	if each > maxBytes {
		t.Errorf("%d bytes a pull, at most %d wanted", each, maxBytes)
	}
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
