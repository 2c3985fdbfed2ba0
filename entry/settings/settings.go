// Package settings reads and checks the JSON settings of one instance.
//
// Settings belong to one VM; everything that the fleet shares comes from the
// platform instead. All faults of a file are reported at once, each with the
// field's path, the value and what is allowed.
package settings

import (
	"github.com/primroseloom/primroseloom/config/document"
)

// Settings are the settings of one instance.
type Settings struct {
	// Fleet is the fleet's name, which separates fleets on one network; lower-case letters, digits and dashes.
	Fleet string `json:"fleet" validate:"required,name"`
	// VM is the name of this VM, unique in the fleet; lower-case letters, digits and dashes.
	VM string `json:"vm" validate:"required,name"`
	// Zone is this VM's availability zone.
	Zone string `json:"zone" validate:"required,name"`
	// Region is this VM's region.
	Region string `json:"region" validate:"required,name"`
	// Listen holds the addresses that the instance listens on.
	Listen Listen `json:"listen"`
	// Platform holds the addresses of the platform's replicas, "IP:port".
	Platform []string `json:"platform" validate:"required,min=1,max=16,unique,dive,address"`
	// FirstPeers holds the peer addresses of some other instances, "IP:port".
	FirstPeers []string `json:"first_peers" validate:"max=64,unique,dive,address"`
	// FleetSize is the maximum number of instances; the platform calls that the fleet may make are divided by it.
	FleetSize int `json:"fleet_size" validate:"min=1,max=100000"`
	// TLS holds the keys for the peer listener.
	TLS TLS `json:"tls"`
	// Limits bounds what callers may use of the instance.
	Limits Limits `json:"limits"`
	// Stop bounds a planned stop.
	Stop Stop `json:"stop"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"log_level" validate:"oneof=debug info warn error"`
}

// Listen holds one address for each audience, each "IP:port".
type Listen struct {
	// Callers is where requests and directory queries arrive.
	Callers string `json:"callers" validate:"required,address"`
	// Peers is where other instances of the fleet connect.
	Peers string `json:"peers" validate:"required,address"`
	// Admin is where operators and the metrics scraper connect.
	Admin string `json:"admin" validate:"required,address"`
}

// TLS holds the keys for mutual TLS between instances.
type TLS struct {
	// Off turns TLS between instances off; every start then logs a warning.
	Off bool `json:"off"`
	// CertificateFile is the PEM certificate of this instance.
	CertificateFile string `json:"certificate_file" validate:"required_unless=Off true"`
	// KeyFile is the PEM private key of this instance.
	KeyFile string `json:"key_file" validate:"required_unless=Off true"`
	// AuthorityFile is the PEM certificate of the fleet's authority.
	AuthorityFile string `json:"authority_file" validate:"required_unless=Off true"`
}

// Limits bounds what callers may use of one instance.
type Limits struct {
	// CallerConnections is the maximum number of open connections from callers; half of the process's descriptors are the upper bound. When there are as many, the connection is closed that has done least for the longest.
	CallerConnections int `json:"caller_connections" validate:"min=1,max=100000"`
	// Descriptors is the number of descriptors that the instance may open, of which 200 are not for sockets; 0 means the operating system's limit.
	Descriptors int `json:"descriptors,omitzero" validate:"min=0,max=100000000"`
	// MemoryMB is the memory that the instance may use, in megabytes; 0 means that of the machine. Half of what the process itself does not need is for what callers send and for responses that are held.
	MemoryMB float64 `json:"memory_mb,omitzero" validate:"min=0,max=10000000"`
	// HeaderBytes is the maximum size of a request's header.
	HeaderBytes int `json:"header_bytes" validate:"min=1024,max=1048576"`
	// BodyBytes is the maximum size of a request's body.
	BodyBytes int64 `json:"body_bytes" validate:"min=0,max=1099511627776"`
	// BufferedResponseBytes is the size up to which a response is buffered until it is complete.
	BufferedResponseBytes int64 `json:"held_answer_bytes" validate:"min=0,max=16777216"`
	// HeaderTimeout is the longest time a caller may take to send a header; 100ms to 1m.
	HeaderTimeout document.Duration `json:"header_timeout" validate:"min=100000000,max=60000000000"`
	// IdleTimeout is how long an idle caller connection is kept; 1s to 1h.
	IdleTimeout document.Duration `json:"idle_timeout" validate:"min=1000000000,max=3600000000000"`
}

// Stop bounds a planned stop.
type Stop struct {
	// Grace is the longest time that requests in progress may take to finish; 1s to 1h.
	Grace document.Duration `json:"grace" validate:"min=1000000000,max=3600000000000"`
	// Linger is how long new connections are still accepted from callers that hold an old directory response; 0s to 10m.
	Linger document.Duration `json:"linger" validate:"min=0,max=600000000000"`
}

// Default returns the values of settings that a file does not set.
func Default() Settings {
	return Settings{
		FleetSize: 200,
		Limits: Limits{
			CallerConnections:     10_000,
			HeaderBytes:           32 << 10,
			BodyBytes:             1 << 30,
			BufferedResponseBytes: 256 << 10,
			HeaderTimeout:         document.Duration(5_000_000_000),
			IdleTimeout:           document.Duration(60_000_000_000),
		},
		Stop: Stop{
			Grace:  document.Duration(600_000_000_000),
			Linger: document.Duration(15_000_000_000),
		},
		LogLevel: "info",
	}
}
