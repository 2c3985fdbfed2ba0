package propagation

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/platform"
	"github.com/primroseloom/primroseloom/policy/roster"
)

// Deployment is the size of what the store publishes.
type Deployment struct {
	Targets, Services, Routes, Customers int
	// PathBytes is how much longer than usual the paths of the routes are, in bytes.
	PathBytes int
}

// DesignSize is the size to design for, with as many customers as a value of the store holds beside 3,800
// routes.
var DesignSize = Deployment{Targets: 9300, Services: 260, Routes: 3800, Customers: 1600}

// meteredStore is the store, with its calls and the bytes of its responses counted by the caller's IP address.
type meteredStore struct {
	*platform.StandInStore
	deployment Deployment
	version    uint64
	targets    []roster.Target

	mu    sync.Mutex
	calls map[string]int64
	// recent holds the calls since recentAt.
	recent   map[string]int64
	recentAt time.Time
	bytes    int64
}

func newMeteredStore(deployment Deployment) *meteredStore {
	s := &meteredStore{StandInStore: platform.NewStandInStore(), deployment: deployment, calls: make(map[string]int64), recent: make(map[string]int64)}
	born := time.Now()
	for i := range deployment.Targets {
		s.targets = append(s.targets, roster.Target{
			ID: fmt.Sprintf("i-service-%08x", i), Service: s.service(i), Address: fmt.Sprintf("127.250.%d.%d:%d", i/250%250, i%250+1, 9000+i/62500),
			Zone: "zone-" + strconv.Itoa(i%3), SoftwareVersion: "v1", Slots: 3, State: roster.StateReady, StartedAt: born, Sequence: 1,
		})
		s.PublishTarget(s.targets[i])
	}
	return s
}

func (s *meteredStore) service(i int) string {
	return "service-" + strconv.Itoa(i%s.deployment.Services)
}

// path is a path that only one version has.
func path(version uint64) string { return "/version-" + strconv.FormatUint(version, 10) + "/" }

// unserved is a service without targets, so that a request on its routes is refused at once.
const unserved = "unserved"

// publish writes the next version of the routes.
func (s *meteredStore) publish() {
	s.version++
	document := routing.Document{
		Version:  s.version,
		Services: []routing.Service{{Name: unserved, MaxConnections: 330}},
		Limits:   routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes:   []routing.Route{s.route(path(s.version), unserved)},
	}
	for i := range s.deployment.Services {
		document.Services = append(document.Services, routing.Service{Name: s.service(i), MaxConnections: 330})
	}
	for i := len(document.Routes); i < s.deployment.Routes; i++ {
		document.Routes = append(document.Routes, s.route(fmt.Sprintf("/partner-%d/%s", i, strings.Repeat("s", s.deployment.PathBytes)), s.service(i)))
	}
	var customers []platform.StandInCustomer
	for i := range s.deployment.Customers {
		name := "customer-" + strconv.Itoa(i)
		customers = append(customers, platform.StandInCustomer{Customer: routing.Customer{Name: name}, PlainKeys: []string{"key of " + name}})
	}
	s.PublishRoutes(document, customers...)
}

func (s *meteredStore) route(prefix, service string) routing.Route {
	return routing.Route{
		Name: strings.Trim(prefix, "/"), Host: host, Prefix: prefix, Kind: routing.KindIdempotent, Timeout: 2 * time.Second, Objective: time.Second,
		Priority: 1, MaxAttempts: 2, Split: []routing.Share{{Service: service, Weight: 1}}, Public: true,
	}
}

// change changes a number of entries: those of the targets, and others.
func (s *meteredStore) change(count int) {
	for i := range min(count, len(s.targets)) {
		s.targets[i].Sequence++
		s.targets[i].Slots++
		s.PublishTarget(s.targets[i])
	}
	for i := len(s.targets); i < count; i++ {
		s.PublishOther(strconv.Itoa(i), []byte(strings.Repeat("a", 200)))
	}
}

// serve serves the store until the context ends.
func (s *meteredStore) serve(ctx context.Context, base int) (address string, err error) {
	listener, err := net.Listen("tcp", addressIP(base, 254)+":0")
	if err != nil {
		return "", fmt.Errorf("listen for the store: %w", err)
	}
	server := &http.Server{Handler: http.HandlerFunc(s.serveMetered)}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// countingWriter counts the bytes of a response.
type countingWriter struct {
	http.ResponseWriter
	bytes int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.bytes += int64(len(p))
	return w.ResponseWriter.Write(p)
}

// recentTime is the time in which calls tell who watches the store.
const recentTime = 3 * time.Second

func (s *meteredStore) serveMetered(w http.ResponseWriter, r *http.Request) {
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	if time.Since(s.recentAt) > recentTime {
		s.recent, s.recentAt = make(map[string]int64), time.Now()
	}
	s.calls[ip]++
	s.recent[ip]++
	s.mu.Unlock()
	counting := &countingWriter{ResponseWriter: w}
	s.StandInStore.ServeHTTP(counting, r)
	s.mu.Lock()
	s.bytes += counting.bytes
	s.mu.Unlock()
}

// totals returns the calls and the bytes so far.
func (s *meteredStore) totals() (calls, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, count := range s.calls {
		calls += count
	}
	return calls, s.bytes
}

// feeder returns the index of a daemon that watches the store, reader that of one that called it least.
func (s *meteredStore) feeder() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	busiest, most := "", int64(0)
	for ip, count := range s.recent {
		if count > most {
			busiest, most = ip, count
		}
	}
	return indexOf(busiest)
}

func (s *meteredStore) reader() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	least, fewest := "", int64(0)
	for ip, count := range s.calls {
		if least == "" || count < fewest {
			least, fewest = ip, count
		}
	}
	return indexOf(least)
}
