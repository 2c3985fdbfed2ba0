package main

import (
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
)

// host is the host of all routes.
const host = "booking.example"

// route returns a route of the host to a service.
func route(name, prefix, service string, kind routing.Kind) routing.Route {
	return routing.Route{
		Name: name, Host: host, Prefix: prefix, Kind: kind, Timeout: 2500 * time.Millisecond, Objective: 600 * time.Millisecond,
		Priority: 1, MaxAttempts: 2, Split: []routing.Share{{Service: service, Weight: 1}},
	}
}

// configuration returns a configuration with the service booking, and one unsafe route to it.
func configuration(version uint64) routing.Document {
	return routing.Document{
		Version:  version,
		Services: []routing.Service{{Name: "booking", HealthPath: healthPath, MaxConnections: 330}},
		Routes:   []routing.Route{route("r-book", "/book/", "booking", routing.KindOnce)},
		Limits:   limits,
	}
}

// limits are those of the sites.
var limits = routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

var zones = []string{"ee-north-a", "ee-north-b", "ee-north-c"}
