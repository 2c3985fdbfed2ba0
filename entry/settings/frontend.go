package settings

import (
	"github.com/primroseloom/primroseloom/config/document"
)

// Frontend holds the settings of an instance that reads its routes and targets from
// a store.
type Frontend struct {
	// Fleet is the fleet's name, which separates fleets on one network; lower-case letters, digits and dashes.
	Fleet string `json:"fleet" validate:"required,name"`
	// VM is the name of this VM, unique in the fleet; lower-case letters, digits and dashes.
	VM string `json:"vm" validate:"required,name"`
	// Zone is this VM's availability zone.
	Zone string `json:"zone" validate:"required,name"`
	// Region is this VM's region.
	Region string `json:"region" validate:"required,name"`
	// Listen holds the addresses that the instance listens on.
	Listen FrontendListen `json:"listen"`
	// Store is the address of the store that publishes routes and targets, "IP:port".
	Store string `json:"store" validate:"required,address"`
	// FirstPeers holds the peer addresses of some other instances, "IP:port".
	FirstPeers []string `json:"first_peers" validate:"max=64,unique,dive,address"`
	// SourceAddress is the local IP address of outgoing connections; empty lets the operating system choose.
	SourceAddress string `json:"source_address" validate:"omitempty,ip"`
	// Machine describes the VM's resources, which determine how many callers are sent to it.
	Machine Machine `json:"machine"`
	// Retries bounds the retries that all instances together may make.
	Retries Retries `json:"repeats"`
	// Keys bounds how long a withdrawn key may be served.
	Keys Keys `json:"keys,omitzero"`
	// Quotas bounds how far customers may exceed their rate limits, which the routes hold.
	Quotas Quotas `json:"quotas,omitzero"`
	// Hedging allows second attempts of slow idempotent requests.
	Hedging Hedging `json:"hedging,omitzero"`
	// Directory controls what callers are told about the VMs to use.
	Directory FrontendDirectory `json:"directory"`
	// Stop bounds a planned stop.
	Stop Stop `json:"stop"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"log_level" validate:"oneof=debug info warn error"`
}

// FrontendListen holds one address for each audience, each "IP:port".
type FrontendListen struct {
	// Callers is where requests arrive.
	Callers string `json:"callers" validate:"required,address"`
	// Readiness is where the platform checks whether the instance accepts callers.
	Readiness string `json:"readiness" validate:"required,address"`
	// Directory is where callers query which VMs to use.
	Directory string `json:"directory" validate:"required,address"`
	// Peers is where other instances connect.
	Peers string `json:"peers" validate:"required,address"`
	// Evidence is where other instances send UDP datagrams; the port is the same on all VMs.
	Evidence string `json:"evidence" validate:"required,address"`
	// Admin is where the metrics are served.
	Admin string `json:"admin" validate:"required,address"`
}

// Machine describes a VM's resources.
type Machine struct {
	// CPUShare is the fraction of each core that the instance may use; CPUShare times Cores is its CPU capacity in cores.
	CPUShare float64 `json:"cpu_share" validate:"min=0.01,max=1024"`
	// Cores is the number of cores.
	Cores float64 `json:"cores" validate:"min=0.01,max=1024"`
	// LinkMbps is the bandwidth of the VM's link in megabits a second.
	LinkMbps float64 `json:"link_mbps" validate:"min=0.1,max=1000000"`
	// MemoryMB is the memory that the instance may use, in megabytes; 0 sets no bound on the bytes that are held for requests and responses.
	MemoryMB float64 `json:"memory_mb,omitzero" validate:"min=0,max=10000000"`
	// Descriptors is the number of descriptors that the instance may open, of which 200 are not for sockets; 0 means the operating system's limit.
	Descriptors int `json:"descriptors,omitzero" validate:"min=0,max=100000000"`
}

// Keys bounds how long a withdrawn key may be served.
type Keys struct {
	// RevokedWithin is the time after the store confirmed a version of the routes from which a key that it no longer holds is served nowhere; 0 sets no bound. A bound under 5s makes VMs refuse keys at times although the store answers, since a call to it may wait 1.0s.
	RevokedWithin document.Duration `json:"revoked_within" validate:"min=0,max=3600000000000"`
}

// Quotas bounds how far customers may exceed their rate limits, over all VMs together.
type Quotas struct {
	// Window is the time over which the requests of a customer are counted; 0 leaves the rate limits without effect.
	Window document.Duration `json:"window" validate:"min=0,max=3600000000000"`
	// Overrun is the share of a limit by which it may be exceeded in a window.
	Overrun float64 `json:"overrun" validate:"min=0,max=10"`
	// Slack is the number of requests by which it may be exceeded besides.
	Slack float64 `json:"slack" validate:"min=0,max=100000"`
}

// Hedging allows second attempts of slow idempotent requests.
type Hedging struct {
	// Ratio is the number of second attempts allowed for each request to a service; 0 allows none.
	Ratio float64 `json:"ratio" validate:"min=0,max=1"`
	// MinDelay is the least time from the first attempt to the second.
	MinDelay document.Duration `json:"min_delay" validate:"min=0,max=60000000000"`
}

// Retries bounds the retries, that is all attempts after the first, of a service's requests.
type Retries struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64 `json:"ratio" validate:"min=0,max=10"`
	// Allowance is the number of retries allowed in 10 s regardless of the number of requests.
	Allowance float64 `json:"allowance" validate:"min=0,max=100000"`
}

// FrontendDirectory controls what callers are told about the VMs to use.
type FrontendDirectory struct {
	// KeepFor is how long callers may keep a directory response; 500ms to 5m. They are told a shorter time, but no less than 500ms, if otherwise a stopping VM had to refuse their requests because the routes' longest timeout ends after its grace period.
	KeepFor document.Duration `json:"keep_for" validate:"min=500000000,max=300000000000"`
	// PerZone is the minimum number of VMs that are advertised to the callers of an availability zone; more are advertised when the load needs their capacity.
	PerZone int `json:"per_zone" validate:"min=1,max=64"`
}

// DefaultFrontend returns the values of settings that a file does not set.
func DefaultFrontend() Frontend {
	return Frontend{
		Fleet:     "primroseloom",
		Machine:   Machine{CPUShare: 1, Cores: 1, LinkMbps: 1000},
		Retries:   Retries{Ratio: 0.2, Allowance: 10},
		Hedging:   Hedging{MinDelay: document.Duration(50_000_000)},
		Directory: FrontendDirectory{KeepFor: document.Duration(1_000_000_000), PerZone: 2},
		Stop: Stop{
			Grace:  document.Duration(6_000_000_000),
			Linger: document.Duration(3_200_000_000),
		},
		LogLevel: "info",
	}
}

// ParseFrontend reads settings over the defaults and checks them. The error is
// a Problems when the file is valid JSON but its content is not allowed.
func ParseFrontend(data []byte) (Frontend, error) {
	parsed := DefaultFrontend()
	problems, err := decode(data, &parsed)
	if err != nil {
		return Frontend{}, err
	}
	problems = append(problems, validate(parsed)...)
	problems = append(problems, findDuplicateAddresses([]listenAddress{
		{"listen.callers", parsed.Listen.Callers},
		{"listen.readiness", parsed.Listen.Readiness},
		{"listen.directory", parsed.Listen.Directory},
		{"listen.peers", parsed.Listen.Peers},
		{"listen.admin", parsed.Listen.Admin},
	})...)
	if len(problems) > 0 {
		return Frontend{}, problems
	}
	return parsed, nil
}
