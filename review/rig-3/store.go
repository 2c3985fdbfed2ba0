package main

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/platform"
)

// store is the project's stand-in of the platform's store.
type store struct {
	*platform.StandInStore

	address string
}

func newStore() *store {
	listener := listen(loopback(200))
	s := &store{StandInStore: platform.NewStandInStore(), address: listener.Addr().String()}
	go func() { _ = http.Serve(listener, s) }()
	return s
}

const (
	callerHost = "h.example"
	service    = "records"
	healthPath = "/health"
)

// configuration returns a version of the configuration with one route of uploads.
func configuration(version uint64, prefix string, timeout time.Duration) routing.Document {
	return routing.Document{
		Version:  version,
		Services: []routing.Service{{Name: service, HealthPath: healthPath, MaxConnections: 330}},
		Limits:   routing.Limits{HeaderBytes: 16384, BodyBytes: 67108864, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes: []routing.Route{{
			Name: "form-upload", Host: callerHost, Prefix: prefix, Kind: routing.KindUpload, Timeout: timeout,
			Objective: 600 * time.Millisecond, Priority: 1, MaxAttempts: 2, Split: []routing.Share{{Service: service, Weight: 1}},
		}},
	}
}

// loopback returns an address of the loopback network, with a free port.
func loopback(host int) string { return fmt.Sprintf("127.0.0.%d:0", host) }

func listen(address string) net.Listener {
	listener, err := net.Listen("tcp", address)
	must(err)
	return listener
}
