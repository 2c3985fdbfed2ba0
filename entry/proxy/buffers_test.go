package proxy

import "testing"

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
