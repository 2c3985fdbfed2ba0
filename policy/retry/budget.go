package retry

// ServiceRatio is the number of retries that a service earns with each request.
const ServiceRatio = 0.09

// MaxTokens bounds the retries that a budget can accumulate.
const MaxTokens = 3.0

// Budget is a token bucket that limits retries to a fraction of the requests. The
// zero value holds no tokens and is ready for use.
type Budget struct {
	tokens float64
}

// NewBudget returns a budget that holds the given number of tokens.
func NewBudget(tokens float64) Budget { return Budget{tokens: min(tokens, MaxTokens)} }

// Earn adds the tokens that one request earns; ratio is in retries per request.
func (b *Budget) Earn(ratio float64) {
	if ratio > 0 {
		b.tokens = min(b.tokens+ratio, MaxTokens)
	}
}

// Available reports whether the budget has a token for one retry.
func (b *Budget) Available() bool { return b.tokens >= 1 }

// Spend takes the token of one retry and reports whether one was available.
func (b *Budget) Spend() bool {
	if !b.Available() {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of tokens left.
func (b *Budget) Tokens() float64 { return b.tokens }
