package forwarding

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strings"
	"testing"

	"connectrpc.com/connect"

	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

// carrier is a VM that serves forwarded requests with a handler.
type carrier struct {
	primroseloomv1connect.UnimplementedPeerServiceHandler
	http.Handler
}

func (c carrier) Forward(ctx context.Context, stream *Stream) error {
	head, err := ReceiveHead(stream)
	if err != nil {
		return err
	}
	request, err := NewRequest(ctx, head, stream)
	if err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	w := NewResponseWriter(stream, request.Body)
	c.ServeHTTP(w, request)
	return w.Finish()
}

// startCarrier starts a VM that serves forwarded requests with a handler, and returns a client of it.
func startCarrier(t *testing.T, handler http.Handler) primroseloomv1connect.PeerServiceClient {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(primroseloomv1connect.NewPeerServiceHandler(carrier{Handler: handler}))
	carrying := httptest.NewUnstartedServer(mux)
	carrying.Config.Protocols = new(http.Protocols)
	carrying.Config.Protocols.SetUnencryptedHTTP2(true)
	carrying.Start()
	t.Cleanup(carrying.Close)
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	t.Cleanup(transport.CloseIdleConnections)
	return primroseloomv1connect.NewPeerServiceClient(&http.Client{Transport: transport}, carrying.URL)
}

// message is a request or a response in all that has to arrive as it was sent.
type message struct {
	method, host, uri string
	status            int
	header, trailer   http.Header
	body              []byte
}

// onlyTest returns the fields of a test, without those that libraries add.
func onlyTest(header http.Header) http.Header {
	kept := header.Clone()
	maps.DeleteFunc(kept, func(name string, _ []string) bool { return !strings.HasPrefix(name, "X-") })
	return kept
}

func (m message) String() string {
	return fmt.Sprintf("%s %q %q status %d %q %q %d bytes", m.method, m.host, m.uri, m.status, m.header, m.trailer, len(m.body))
}

func (m message) equal(other message) bool {
	same := func(a, b http.Header) bool { return maps.EqualFunc(a, b, slices.Equal) }
	return m.method == other.method && m.host == other.host && m.uri == other.uri && m.status == other.status &&
		same(m.header, other.header) && same(m.trailer, other.trailer) && bytes.Equal(m.body, other.body)
}

// generator draws what HTTP allows.
type generator struct{ *rand.Rand }

// draw returns a text of up to a length of the characters between two.
func (g generator) draw(length int, from, to byte) string {
	text := make([]byte, g.IntN(length))
	for i := range text {
		text[i] = from + byte(g.IntN(int(to-from)+1))
	}
	return string(text)
}

// value returns a field's value: visible characters, spaces and tabs within, and obs-text.
func (g generator) value() string {
	switch g.IntN(4) {
	case 0:
		return ""
	case 1:
		return "J" + g.draw(6, 0x80, 0xFF) + "hvi"
	case 2:
		return strings.Trim(g.draw(300, ' ', '~'), " ")
	}
	return "a" + g.draw(20, 0x80, 0xFF) + "\t" + g.draw(20, 0xC0, 0xFF) + "z"
}

func (g generator) header(fields int) http.Header {
	header := make(http.Header)
	for range g.IntN(fields) {
		header.Add("X-"+string(rune('A'+g.IntN(20))), g.value())
	}
	return header
}

func (g generator) request() message {
	return message{
		method: []string{http.MethodGet, http.MethodPost, "M-SEARCH", "x!#$%&'*+.^_`|~9"}[g.IntN(4)],
		host:   "booking.example", uri: "/a%F5/" + g.draw(9, 'a', 'z') + "?q=" + g.draw(9, 0x80, 0xFF) + "&" + g.draw(9, '0', '9'),
		header: g.header(8), body: []byte(g.draw(100_000, 0, 0xFF)),
	}
}

func (g generator) response() message {
	m := message{status: []int{200, 203, 404, 418, 500, 599}[g.IntN(6)], header: g.header(8), trailer: make(http.Header), body: []byte(g.draw(100_000, 0, 0xFF))}
	for range g.IntN(3) {
		m.trailer.Add("X-Trailer-"+string(rune('A'+g.IntN(5))), g.value())
	}
	return m
}

// TestBytesCrossAsTheyCame guards against a request or a response that is lost or changed when another
// VM carries it, because of bytes that HTTP allows and a message between VMs doesn't: a direct answer and
// a carried one are the same.
func TestBytesCrossAsTheyCame(t *testing.T) {
	var arrived, reply message
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived = message{method: r.Method, host: r.Host, uri: r.RequestURI, header: onlyTest(r.Header)}
		arrived.body, _ = io.ReadAll(r.Body)
		maps.Copy(w.Header(), reply.header.Clone())
		for name := range reply.trailer {
			w.Header().Add("Trailer", name)
		}
		w.WriteHeader(reply.status)
		_, _ = w.Write(reply.body)
		maps.Copy(w.Header(), reply.trailer.Clone())
	})
	direct := httptest.NewServer(handler)
	defer direct.Close()
	client := startCarrier(t, handler)

	for seed := range uint64(300) {
		g := generator{rand.New(rand.NewPCG(seed, 0))}
		sent := g.request()
		reply = g.response()
		for name, send := range map[string]func() (*http.Response, error){
			"direct":  func() (*http.Response, error) { return sendDirect(direct, sent) },
			"carried": func() (*http.Response, error) { return sendCarried(t, client, sent) },
		} {
			arrived = message{}
			response, err := send()
			if err != nil {
				t.Errorf("seed %d, %s: %v", seed, name, err)
				continue
			}
			got := message{status: response.StatusCode, header: onlyTest(response.Header)}
			got.body, err = io.ReadAll(response.Body)
			got.trailer = onlyTest(response.Trailer)
			_ = response.Body.Close()
			if maps.DeleteFunc(got.header, func(name string, _ []string) bool { return strings.HasPrefix(name, "X-Trailer-") }); err != nil || !arrived.equal(sent) || !got.equal(reply) {
				t.Errorf("seed %d, %s, error %v:\nsent %v\n got %v\nsent %v\n got %v", seed, name, err, sent, arrived, reply, got)
			}
		}
		if t.Failed() {
			return
		}
	}
}

// sendDirect sends a request to a server.
func sendDirect(server *httptest.Server, m message) (*http.Response, error) {
	path, query, _ := strings.Cut(m.uri, "?")
	request := &http.Request{
		Method: m.method, Host: m.host, URL: &url.URL{Scheme: "http", Host: strings.TrimPrefix(server.URL, "http://"), Opaque: path, RawQuery: query},
		Header: m.header.Clone(), Body: io.NopCloser(bytes.NewReader(m.body)), ContentLength: int64(len(m.body)),
	}
	return server.Client().Transport.RoundTrip(request)
}

// sendCarried sends a request to a VM that carries it.
func sendCarried(t *testing.T, client primroseloomv1connect.PeerServiceClient, m message) (*http.Response, error) {
	head := &primroseloomv1.ForwardHead{
		Method: []byte(m.method), Host: []byte(m.host), RequestUri: []byte(m.uri), Headers: FieldsOf(m.header), ContentLength: int64(len(m.body)),
	}
	x, err := Start(t.Context(), client, head, io.NopCloser(bytes.NewReader(m.body)))
	if err != nil {
		return nil, err
	}
	response, _, err := x.Response()
	return response, err
}
