package soak

import (
	"strconv"
	"testing"
	"time"
)

// TestKeyViolationsAreFound guards against a soak that does not notice a broken promise about
// customers.
func TestKeyViolationsAreFound(t *testing.T) {
	start := time.Now()
	ran := func(c *checker, request keyedRequest, r keyedRun) {
		request.id, r.requestID, r.target = "k1", "k1", "t1"
		c.recordKeyed(request)
		c.recordKeyedRun(r)
	}
	own := keyedRun{customer: keyedCustomer, at: start}
	for name, c := range map[string]struct {
		record func(c *checker)
		want   Promise
	}{
		"served":           {func(c *checker) { ran(c, keyedRequest{keyVersion: 2, startedAt: start, status: statusServed}, own) }, ""},
		"in time":          {func(c *checker) { ran(c, keyedRequest{keyVersion: 1, startedAt: start.Add(4 * time.Second)}, own) }, ""},
		"withdrawn":        {func(c *checker) { ran(c, keyedRequest{keyVersion: 1, startedAt: start.Add(6 * time.Second)}, own) }, PromiseKeyWithdrawn},
		"refused and ran":  {func(c *checker) { ran(c, keyedRequest{keyVersion: 2, startedAt: start, status: statusNoKey}, own) }, PromiseNotRun},
		"key passed on":    {func(c *checker) { ran(c, keyedRequest{keyVersion: 2}, keyedRun{customer: keyedCustomer, hasKey: true}) }, PromiseCustomer},
		"another customer": {func(c *checker) { ran(c, keyedRequest{keyVersion: 2}, keyedRun{customer: "riga"}) }, PromiseCustomer},
		"over the limit":   {func(c *checker) { manyRuns(c, start, 158) }, PromiseQuota},
		"at the limit":     {func(c *checker) { manyRuns(c, start, 157) }, ""},
		"ran a second time": {func(c *checker) {
			ran(c, keyedRequest{keyVersion: 2}, own)
			c.recordKeyedRun(keyedRun{requestID: "k1", customer: keyedCustomer})
		}, PromiseAtMostOnce},
		"not yet withdrawn at": {func(c *checker) { ran(c, keyedRequest{keyVersion: 2, startedAt: start.Add(time.Hour)}, own) }, ""},
	} {
		checker := newChecker(start)
		checker.recordPublication(1+keyVersions, start)
		c.record(checker)
		checker.checkKeys()
		got := Promise("")
		if len(checker.violations) > 0 {
			got = checker.violations[0].Promise
		}
		if got != c.want {
			t.Errorf("%s: violation %q, want %q", name, got, c.want)
		}
	}
}

func manyRuns(c *checker, start time.Time, count int) {
	for i := range count {
		c.recordKeyedRun(keyedRun{requestID: strconv.Itoa(i), customer: keyedCustomer, at: start.Add(time.Duration(i) * 30 * time.Millisecond)})
	}
}
