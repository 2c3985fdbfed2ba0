package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/entry/forwarding"
	"github.com/primroseloom/primroseloom/entry/framing"
	"github.com/primroseloom/primroseloom/entry/readahead"
	"github.com/primroseloom/primroseloom/entry/targetset"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

const (
	// otherIP is the address of another VM.
	otherIP = "10.0.0.2"
	// maxUploadBytes is the limit on bodies in the tests of uploads.
	maxUploadBytes = 8 << 20
	// uploadPart is what a caller sends at a time.
	uploadPart = 50_000
)

// uploadHarness is a harness whose targets record the bodies that they read.
type uploadHarness struct {
	*harness
	address string
	mu      sync.Mutex
	read    []readBody
}

// readBody is what a target has read of a body; isWhole is true when the body has ended properly.
type readBody struct {
	content []byte
	isWhole bool
}

// withUploads runs a test whose callers send uploads over connections.
func withUploads(t *testing.T, behaviors []uploadBehavior, test func(h *uploadHarness)) {
	t.Helper()
	h := &uploadHarness{}
	var all []behavior
	for _, handle := range behaviors {
		all = append(all, func(out http.ResponseWriter, r *http.Request) { handle(h, out, r) })
	}
	withHarness(t, all, func(inner *harness) {
		h.harness = inner
		h.table = tableWithBodies(t, maxUploadBytes)
		h.targets.RoutesChanged(h.table)
		h.address = h.serveOver(func(l net.Listener) net.Listener { return readahead.Listener(l, framing.Options{}) }) // as the daemon
		test(h)
		time.Sleep(10 * time.Second) // what is still read ends
	})
}

// uploadBehavior is how a target handles an upload.
type uploadBehavior func(h *uploadHarness, out http.ResponseWriter, r *http.Request)

// readUpTo reads the next bytes of a body, all of them when limit is negative, and reports whether
// the handler may go on.
func (b *readBody) readUpTo(body io.Reader, limit int) bool {
	source := body
	if limit >= 0 {
		source = io.LimitReader(body, int64(limit))
	}
	content, err := io.ReadAll(source)
	b.content = append(b.content, content...)
	b.isWhole = err == nil && (limit < 0 || len(content) < limit)
	return err == nil
}

// answer writes a response of a length but for its last bytes, which it returns.
func answer(out http.ResponseWriter, r *http.Request, status, length, last int) []byte {
	out.Header().Set("Id", r.Header.Get("Id"))
	out.Header().Set("Seal", "sealed")
	out.Header().Set("Content-Length", strconv.Itoa(length))
	out.WriteHeader(status)
	content := pattern(length)
	_, _ = out.Write(content[:length-last])
	_ = http.NewResponseController(out).Flush()
	return content[length-last:]
}

// record records what a target has read.
func (h *uploadHarness) record(b *readBody) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.read = append(h.read, *b)
}

// answersAfter responds once it has read a part of the body, all of it when after is negative, and
// reads on.
func answersAfter(after, status, length int) uploadBehavior {
	return answersAcross(after, status, length, 0)
}

// answersAcross is like answersAfter and writes the last bytes of its response after the body.
func answersAcross(after, status, length, last int) uploadBehavior {
	return func(h *uploadHarness, out http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(out).EnableFullDuplex()
		b := &readBody{}
		defer h.record(b)
		if !b.readUpTo(r.Body, after) {
			panic(http.ErrAbortHandler)
		}
		rest := answer(out, r, status, length, last)
		if !b.isWhole && !b.readUpTo(r.Body, -1) {
			panic(http.ErrAbortHandler)
		}
		_, _ = out.Write(rest)
	}
}

// refusesAfter says that it does not run the request once it has read a part of the body, and
// reads on.
func refusesAfter(after int) uploadBehavior {
	refuses := answersAfter(after, http.StatusServiceUnavailable, 0)
	return func(h *uploadHarness, out http.ResponseWriter, r *http.Request) {
		out.Header().Set("Not-Run", "1")
		refuses(h, out, r)
	}
}

// resetsAfter closes the connection once it has read a part of the body.
func resetsAfter(after int) uploadBehavior {
	return func(h *uploadHarness, _ http.ResponseWriter, r *http.Request) {
		b := &readBody{}
		defer h.record(b)
		b.readUpTo(r.Body, after)
		panic(http.ErrAbortHandler)
	}
}

// check fails the test if a target has taken a body for whole that isn't the one that was sent, or
// has got other bytes than those that were sent.
func (h *uploadHarness) check(name string, sent []byte) {
	h.t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.read {
		switch {
		case b.isWhole && !bytes.Equal(b.content, sent):
			h.t.Errorf("%s: a target has taken %d bytes of %d for the whole body", name, len(b.content), len(sent))
		case !bytes.HasPrefix(sent, b.content):
			h.t.Errorf("%s: %d bytes that a target has read are not the begin of the body of %d bytes", name, len(b.content), len(sent))
		}
	}
	h.read = nil
}

// upload is one upload of a caller.
type upload struct {
	path      string
	content   []byte
	isChunked bool
	// pause is the time between two parts. stallAfter is the number of bytes after which the caller
	// sends nothing for stall; 0 for none.
	pause, stall time.Duration
	stallAfter   int
	// breaksOff is true for a caller that leaves instead of the stall.
	breaksOff bool
	// limit is the time that the caller waits.
	limit time.Duration
}

// pacedBody reads an upload.
type pacedBody struct {
	upload
	sent int
}

var errBrokenOff = errors.New("the caller leaves")

// Read returns the next part.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.sent == len(b.content) {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	end := min(b.sent+min(len(p), uploadPart), len(b.content))
	if b.stallAfter > 0 && b.sent < b.stallAfter {
		end = min(end, b.stallAfter)
	} else if b.stallAfter > 0 && b.sent == b.stallAfter {
		if b.breaksOff {
			return 0, errBrokenOff
		}
		time.Sleep(b.stall)
	}
	n := copy(p, b.content[b.sent:end])
	b.sent += n
	return n, nil
}

// Close does nothing.
func (b *pacedBody) Close() error { return nil }

// send sends an upload over a connection of its own and returns the status and the body of the
// response, or why it did not come or was not whole.
func (h *uploadHarness) sendUpload(u upload) (status int, content []byte, err error) {
	limit := u.limit
	if limit == 0 {
		limit = patientTimeout
	}
	request, err := http.NewRequestWithContext(h.t.Context(), http.MethodPost, "http://"+h.address+u.path, &pacedBody{upload: u})
	if err != nil {
		h.t.Fatal(err)
	}
	request.Host = host
	request.ContentLength = int64(len(u.content))
	if u.isChunked {
		request.ContentLength = -1
	}
	request.Header.Set("Id", "r1")
	request.Header.Set("Left", strconv.FormatInt(limit.Milliseconds(), 10))
	transport := &http.Transport{DialContext: h.network.Host("10.9.0.1").DialContext} // it keeps its connection: the server treats others differently
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err = io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

// peerService is the interface of another VM, which serves forwarded requests.
type peerService struct {
	primroseloomv1connect.UnimplementedPeerServiceHandler
	forward func(ctx context.Context, stream *forwarding.Stream) error
}

func (s peerService) Forward(ctx context.Context, stream *connect.BidiStream[primroseloomv1.ForwardRequest, primroseloomv1.ForwardResponse]) error {
	return s.forward(ctx, stream)
}

// otherVM is the fleet of a VM with one other one.
type otherVM struct {
	noCarriers
	client primroseloomv1connect.PeerServiceClient
	// isPrimary and isCarrier are true when the other VM is offered as such.
	isPrimary, isCarrier bool
}

func (o otherVM) Primary(_ string, tried []string) (string, primroseloomv1connect.PeerServiceClient, bool) {
	return "vm-2", o.client, o.isPrimary && len(tried) == 0
}

func (o otherVM) Carrier(_ string, tried []string) (string, primroseloomv1connect.PeerServiceClient, bool) {
	return "vm-2", o.client, o.isCarrier && !slices.Contains(tried, "vm-2")
}

// startOther starts another VM and returns its client.
func (h *uploadHarness) startOther(forward func(ctx context.Context, stream *forwarding.Stream) error) primroseloomv1connect.PeerServiceClient {
	h.t.Helper()
	address := net.JoinHostPort(otherIP, "81")
	listener, err := h.network.Host(otherIP).Listen(h.t.Context(), address)
	if err != nil {
		h.t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(primroseloomv1connect.NewPeerServiceHandler(peerService{forward: forward}))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, Protocols: protocols}
	go func() { _ = server.Serve(listener) }()
	transport := &http.Transport{DialContext: h.network.Host(ownIP).DialContext, Protocols: protocols}
	h.t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = server.Close()
	})
	return primroseloomv1connect.NewPeerServiceClient(&http.Client{Transport: transport}, "http://"+address)
}

// newOtherGateway returns the gateway of another VM before the same targets.
func (h *uploadHarness) newOtherGateway() *Gateway {
	start, logger := time.Now(), log.New(io.Discard)
	targets := targetset.New(targetset.Options{
		Zone: "z", Network: h.network.Host(otherIP), Budget: targetset.Budget{Ratio: 1, Allowance: 100},
		Sharers: func() int { return 1 }, RateShare: func(_ string, perSecond float64) float64 { return perSecond }, Uptime: func() time.Duration { return time.Since(start) + time.Hour },
		Logger: logger, Scope: tally.NoopScope, Seed: 1,
	})
	targets.UseNotifier(discardNotifier{})
	targets.RoutesChanged(h.table)
	targets.TargetsChanged(h.published)
	h.t.Cleanup(func() { targets.TargetsChanged(nil) })
	return New(Options{
		Dialect: plainDialect{}, Table: h.gateway.options.Table, Targets: targets, Crashes: h.crashes, Carriers: noCarriers{},
		Stopping: func() bool { return false }, Logger: logger, Scope: tally.NoopScope,
	})
}

// refusesForwarded reads a part of a forwarded request's body and says that the request was not run.
func refusesForwarded(after int64, reason outcome.Reason) func(context.Context, *forwarding.Stream) error {
	return func(ctx context.Context, stream *forwarding.Stream) error {
		head, err := forwarding.ReceiveHead(stream)
		if err != nil {
			return err
		}
		r, err := forwarding.NewRequest(ctx, head, stream)
		if err != nil {
			return err
		}
		_, _ = io.CopyN(io.Discard, r.Body, after)
		w := forwarding.NewResponseWriter(stream, r.Body)
		return w.Refuse(refusalMessage(refuse(reason, outcome.StepChoose, noTargetWait)))
	}
}
