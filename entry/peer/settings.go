package peer

import (
	"time"

	"github.com/primroseloom/primroseloom/policy/membership"
)

// Settings are the parameters of a Manager.
type Settings struct {
	// Fleet is the name that keeps fleets on one network apart.
	Fleet  string
	VM     string
	Region string
	Zone   string
	// Instance identifies this process; random.
	Instance uint64
	// CallersAddress and PeersAddress are "IP:port".
	CallersAddress string
	PeersAddress   string
	// Capacity is the requests a second that the VM is fit for; zero when unknown.
	Capacity uint32
	// FirstPeers are the peer addresses of some other instances.
	FirstPeers []string
	TLS        TLSFiles
	Membership membership.Settings
	// Clock returns the process's uptime and counts suspension; nil stands for the time since New on the ordinary clock.
	Clock func() time.Duration
	// Seed seeds the random choices.
	Seed uint64
}

// TLSFiles names the PEM files for mutual TLS.
type TLSFiles struct {
	Off             bool
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
}

// Bounds on the protocol.
const (
	tickInterval = 50 * time.Millisecond
	// pauseThreshold is the time between two ticks that counts as a pause.
	pauseThreshold = time.Second
	// maxMessageBytes holds a configuration shard and its envelope.
	maxMessageBytes = 1<<20 + 64<<10
	// minCompressedBytes is the size from which an answer is compressed; below
	// it the compressors' memory costs more than the bytes saved.
	minCompressedBytes = 16 << 10
	// maxActions is the number of pings and joins in progress.
	maxActions = 256
	// maxConnections is the number of connections accepted from peers.
	maxConnections = 4096
	// maxStreams is the number of calls in progress on one connection.
	maxStreams = 256
	// viewAge is the age at which the published view is built anew.
	viewAge = 500 * time.Millisecond

	pingAfterSilence = 5 * time.Second
	pingTimeout      = 2 * time.Second
	idleTimeout      = time.Minute
	dialTimeout      = 2 * time.Second
	headerTimeout    = 5 * time.Second
	maxRelayTimeout  = time.Second
)
