package peer

import (
	"time"

	"github.com/primroseloom/primroseloom/policy/membership"
)

// Settings are the parameters of a Manager.
type Settings struct {
	// Fleet is the name of the fleet; it distinguishes fleets on one network.
	Fleet  string
	VM     string
	Region string
	Zone   string
	// Instance is a random number that identifies this process.
	Instance uint64
	// CallersAddress and PeersAddress are "IP:port".
	CallersAddress string
	PeersAddress   string
	// Capacity is the number of requests per second that the VM can handle; zero if
	// unknown.
	Capacity uint32
	// FirstPeers are the peer addresses of some other instances, through which this
	// one joins the fleet.
	FirstPeers []string
	TLS        TLSFiles
	Membership membership.Settings
	// Connections is the maximum number of connections accepted from peers; 0 means MaxConnections.
	Connections int
	// Clock returns the uptime of the process, including time in which it was
	// suspended. If nil, the time since New by the monotonic clock is used.
	Clock func() time.Duration
	// Seed seeds the random number generator of the membership.
	Seed uint64
}

// TLSFiles names the PEM files for mutual TLS. Off disables TLS.
type TLSFiles struct {
	Off             bool
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
}

// Limits of the peer protocol.
const (
	tickInterval = 50 * time.Millisecond
	// pauseThreshold is the time without a tick after which the process counts as
	// paused.
	pauseThreshold = time.Second
	// maxMessageBytes is large enough for a configuration shard and its envelope.
	maxMessageBytes = 1<<20 + 64<<10
	// minCompressedBytes is the size from which a response is compressed. For
	// smaller ones, the memory of the compressors costs more than the saved bytes.
	minCompressedBytes = 16 << 10
	// maxActions is the maximum number of pings and joins in progress.
	maxActions = 256
	// MaxConnections is the maximum number of connections accepted from peers on any machine.
	MaxConnections = 4096
	// maxHeaderBytes is the maximum size of a call's header.
	maxHeaderBytes = 64 << 10
	// maxStreams is the maximum number of calls in progress on one connection.
	maxStreams = 256
	// maxViewAge is the age at which the published view is rebuilt.
	maxViewAge = 500 * time.Millisecond

	pingAfterSilence = 5 * time.Second
	pingTimeout      = 2 * time.Second
	idleTimeout      = time.Minute
	dialTimeout      = 2 * time.Second
	headerTimeout    = 5 * time.Second
	maxRelayTimeout  = time.Second
)
