package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestBuffersStayWithinTheBudget guards against requests that hold more for responses and heads
// together than the budget has, that reserve after their end, or that release too much.
func TestBuffersStayWithinTheBudget(t *testing.T) {
	budget := &bufferBudget{limit: 100}
	first, second := &bufferHold{budget: budget}, &bufferHold{budget: budget}
	head := second.holdHead()
	for i, step := range []struct{ got, want bool }{
		{first.grow(60), true},
		{head(30), true},
		{head(20), true},
		{head(41), false},
		{second.grow(11), false},
		{second.grow(10), true},
	} {
		if step.got != step.want {
			t.Errorf("step %d: %v", i, step.got)
		}
	}
	second.shrink(10)
	first.shrink(70)
	if budget.held != 30 {
		t.Errorf("%d bytes are held, want 30", budget.held)
	}
	second.release()
	second.release()
	if budget.held != 0 || head(31) || second.grow(1) {
		t.Errorf("%d bytes are held after the end", budget.held)
	}
}

// TestHeldResponseIsCountedUntilTheRequestEnds guards against callers that don't read: their responses
// stay in memory while they are written, without being counted, so that nothing bounds them.
func TestHeldResponseIsCountedUntilTheRequestEnds(t *testing.T) {
	const size = 1000
	for name, length := range map[string]int64{"length": size, "chunks": -1} {
		p := &Proxy{limits: DefaultLimits(), buffers: bufferBudget{limit: DefaultLimits().MaxBufferedBytes}}
		c := &call{request: httptest.NewRequest(http.MethodGet, "/", nil), held: &bufferHold{budget: &p.buffers}}
		response := &http.Response{
			StatusCode: http.StatusOK, ContentLength: length, Header: make(http.Header),
			Body: io.NopCloser(strings.NewReader(strings.Repeat("x", size))),
		}
		if length < 0 {
			response.TransferEncoding = []string{"chunked"}
		}
		if buffered, err := p.bufferOrStream(nil, response, c); err != nil || len(buffered.Body) != size {
			t.Fatalf("%s: the response is not held: %v", name, err)
		}
		if p.buffers.held != size {
			t.Errorf("%s: %d bytes are counted while the response is held, want %d", name, p.buffers.held, size)
		}
		c.held.release()
		if p.buffers.held != 0 {
			t.Errorf("%s: %d bytes are counted after the end", name, p.buffers.held)
		}
	}
}
