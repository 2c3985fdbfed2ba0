package soak

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/platform"
)

const (
	// keyedPrefix is the route whose callers need a key; all other routes are public.
	keyedPrefix = "/mine/"
	// keyedCustomer is the customer of the keyed callers.
	keyedCustomer = "tallinn"
	// keyedCallers is the number of callers with keys. Together they send more than the
	// customer's limit.
	keyedCallers = 4
	// keyedRate and keyedBurst are the limit of the customer, in requests a second and in requests.
	keyedRate, keyedBurst = 20.0, 10.0
	// keyVersions is the number of versions of the routes that hold a key, from the version of
	// its number on.
	keyVersions = 2
	// keyedStream separates the random numbers of these callers from those of others.
	keyedStream = 6000
)

// Bounds of the daemons' settings, which the checker holds them to.
const (
	keysRevokedWithin = 5 * time.Second
	quotaWindow       = 5 * time.Second
	quotaOverrun      = 0.25
	quotaSlack        = 20.0
)

// keyOf returns the key that a version of the routes brings.
func keyOf(version uint64) string { return "key-" + strconv.FormatUint(version, 10) }

// hasCustomers reports whether callers need keys. Beside another build they don't, since it may
// be from before customers had keys.
func (s *soak) hasCustomers() bool { return s.options.OtherDaemonPath == "" }

// keyedCallerCount returns the number of callers with keys.
func (s *soak) keyedCallerCount() int {
	if !s.hasCustomers() {
		return 0
	}
	return keyedCallers
}

// customersOf returns the customers of a version: it adds a key and withdraws an older one.
func (s *soak) customersOf(version uint64) []platform.StandInCustomer {
	if !s.hasCustomers() {
		return nil
	}
	customer := platform.StandInCustomer{Customer: routing.Customer{Name: keyedCustomer, Rate: keyedRate, Burst: keyedBurst}}
	for added := max(version, keyVersions) - keyVersions + 1; added <= version; added++ {
		customer.PlainKeys = append(customer.PlainKeys, keyOf(added))
	}
	return []platform.StandInCustomer{customer}
}

// keyedRequest is one request with a key and its result.
type keyedRequest struct {
	id string
	// keyVersion is the version that brought the key.
	keyVersion         uint64
	vm                 int
	startedAt, endedAt time.Time
	status             int
}

// keyedCaller sends requests with keys, some of which are withdrawn, to random daemons.
type keyedCaller struct {
	*caller
}

func (s *soak) newKeyedCaller(i int) keyedCaller {
	return keyedCaller{newCaller("keyed"+strconv.Itoa(i), s.options.Seed+uint64(keyedStream+i), s.fleet, s.checker, s.newestVersion)}
}

// run sends requests until the context ends.
func (c keyedCaller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.sendKeyed(ctx, c.random.IntN(len(c.fleet.vms)))
		time.Sleep(callerPause)
	}
}

// sendKeyed sends one request with the newest key, or with one of some versions ago.
func (c keyedCaller) sendKeyed(ctx context.Context, vm int) {
	c.sent++
	record := keyedRequest{id: c.name + "-" + strconv.Itoa(c.sent), keyVersion: c.newestVersion(), vm: vm}
	if age := uint64(c.random.IntN(5)); age < record.keyVersion {
		record.keyVersion -= age
	}
	requestCtx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s%sx", c.fleet.vms[vm].callersLink.address(), keyedPrefix)
	request, err := http.NewRequestWithContext(requestCtx, http.MethodPost, url, strings.NewReader("slot"))
	if err != nil {
		return // cannot happen: the soak itself chose the address
	}
	request.Host = host
	forbidResending(request)
	platform.Headers{}.WriteRequest(request.Header, dialect.Request{AttemptID: record.id, Remaining: callerTimeout, Key: keyOf(record.keyVersion)})
	record.startedAt = time.Now()
	record.status, _ = c.exchange(request, "")
	record.endedAt = time.Now()
	c.checker.recordKeyed(record)
}
