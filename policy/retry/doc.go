// Package retry decides whether a failed attempt of a request is followed by
// another one.
//
// An attempt is repeated only when the request may run twice or when it truly
// did not run, when enough of its deadline is left, when another target can
// take it, and when two budgets allow it: the customer's own and the service's.
// A budget earns a fraction of a token with each request and pays one token
// with each retry, so that retries stay a fixed fraction of the requests even
// when every target fails.
package retry
