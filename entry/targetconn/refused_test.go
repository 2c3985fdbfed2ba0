package targetconn

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/standin/memnet"
)

const targetAddress = "10.1.0.1:80"

// startTarget starts a target that answers each request with an empty response, and returns the
// number of its connections.
func startTarget(t *testing.T, network *memnet.Network) *atomic.Int64 {
	t.Helper()
	listener, err := network.Host("10.1.0.1").Listen(t.Context(), targetAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	connections := new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				for reader := bufio.NewReader(conn); ; {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	return connections
}

// sendOne sends a request with an identifier, and marks it as refused if that is wanted.
func sendOne(t *testing.T, p *Pool, id string, isRefused bool) error {
	t.Helper()
	trip := &contract.RoundTrip{RequestID: id}
	request, err := http.NewRequestWithContext(contract.WithRoundTrip(context.Background(), trip), http.MethodGet, "http://"+targetAddress, nil)
	if err != nil {
		t.Fatal(err)
	}
	x, _, err := Send(p, "t0", request)
	if err != nil {
		return err
	}
	if isRefused {
		x.MarkRefused()
	}
	x.Finish(true)
	return nil
}

// TestConnectionCarriesNoRequestThatItsTargetRefused guards against an earlier refusal, written once
// more, that is taken for one of a request that its caller sent again with the same identifier.
func TestConnectionCarriesNoRequestThatItsTargetRefused(t *testing.T) {
	network := memnet.New()
	connections := startTarget(t, network)
	p := New(targetAddress, network.Host("10.0.0.1"), DefaultOptions(2))
	defer p.Close()
	for i, step := range []struct {
		id        string
		isRefused bool
		// want is the number of connections afterwards.
		want int64
	}{{"a", true, 1}, {"b", false, 1}, {"b", false, 1}, {"a", false, 2}, {"a", true, 2}, {"a", false, 3}, {"", true, 3}, {"", false, 3}} {
		if err := sendOne(t, p, step.id, step.isRefused); err != nil {
			t.Fatal(err)
		}
		if got := connections.Load(); got != step.want {
			t.Errorf("step %d with identifier %q: %d connections, want %d", i, step.id, got, step.want)
		}
	}
	if p.Size() > 2 {
		t.Errorf("%d connections are open, the limit is 2", p.Size())
	}
}

// TestConnectionIsReplacedAfterManyRefusals guards against memory that grows with the refusals on
// a connection, and against a connection for each refusal of a full target.
func TestConnectionIsReplacedAfterManyRefusals(t *testing.T) {
	network := memnet.New()
	connections := startTarget(t, network)
	p := New(targetAddress, network.Host("10.0.0.1"), DefaultOptions(2))
	defer p.Close()
	for i := range 3 * maxRefusals {
		if err := sendOne(t, p, strconv.Itoa(i), true); err != nil {
			t.Fatal(err)
		}
	}
	if got := connections.Load(); got != 3 {
		t.Errorf("%d connections for %d refusals, want 3", got, 3*maxRefusals)
	}
}
