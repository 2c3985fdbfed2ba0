// Package retry decides whether a failed attempt of a request is followed by
// another one.
//
// An attempt is retried only when the request may run twice or certainly did not
// run, when enough time is left until its deadline, when another target can take
// it, and when two budgets allow it: the customer's and the service's. A budget
// earns a fraction of a token with each request and spends one token on each
// retry, so that retries stay a fixed fraction of the requests even when every
// target fails.
package retry
