package peer

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/entry/events"
)

const (
	// keysCheckInterval is the time between two checks of the key files for changes.
	keysCheckInterval = 3 * time.Second
	// fleetDomainSuffix follows the fleet's name in the DNS name of its certificates.
	fleetDomainSuffix = ".primroseloom"
)

// FleetServerName returns the DNS name in the certificates of a fleet.
func FleetServerName(fleet string) string { return fleet + fleetDomainSuffix }

// keys holds the key material for mutual TLS and reloads it when the files change.
type keys struct {
	off        bool
	files      TLSFiles
	serverName string
	logger     *log.Logger
	refused    tally.Counter
	lastDigest [sha256.Size]byte
	current    atomic.Pointer[keyMaterial]
}

// keyMaterial is the content of the key files at one time.
type keyMaterial struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

func loadKeys(settings Settings, logger *log.Logger, scope tally.Scope) (*keys, error) {
	k := &keys{off: settings.TLS.Off, files: settings.TLS, serverName: FleetServerName(settings.Fleet),
		logger: logger, refused: scope.Counter("certificates_refused")}
	if k.off {
		return k, nil
	}
	if err := k.reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// reload reads the files and uses their content when it has changed.
func (k *keys) reload() error {
	var contents [3][]byte
	digest := sha256.New()
	for i, path := range []string{k.files.CertificateFile, k.files.KeyFile, k.files.AuthorityFile} {
		content, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("read peer keys: %w", err)
		}
		contents[i] = content
		sum := sha256.Sum256(content)
		digest.Write(sum[:])
	}
	sum := [sha256.Size]byte(digest.Sum(nil))
	if sum == k.lastDigest {
		return nil
	}
	k.lastDigest = sum
	parsed, err := k.parse(contents[0], contents[1], contents[2])
	if err != nil {
		return err
	}
	k.current.Store(parsed)
	events.PeerKeysLoaded.Log(k.logger, "certificate", k.files.CertificateFile, "valid_until", parsed.certificate.Leaf.NotAfter)
	return nil
}

func (k *keys) parse(certificate, key, authority []byte) (*keyMaterial, error) {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("parse %s and %s: %w", k.files.CertificateFile, k.files.KeyFile, err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(authority) {
		return nil, fmt.Errorf("parse %s: no PEM certificate found", k.files.AuthorityFile)
	}
	if err := pair.Leaf.VerifyHostname(k.serverName); err != nil {
		return nil, fmt.Errorf("certificate %s does not carry the name of this fleet: %w", k.files.CertificateFile, err)
	}
	return &keyMaterial{certificate: pair, authorities: authorities}, nil
}

// watch reloads the files when they change, until the context ends. If the new
// files are invalid, the previous keys stay in use.
func (k *keys) watch(ctx context.Context) {
	if k.off {
		return
	}
	ticker := time.NewTicker(keysCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := k.reload(); err != nil {
			events.PeerKeysRejected.Log(k.logger, "error", err)
		}
	}
}

// clientConfig returns the TLS configuration of outgoing connections. It replaces
// the standard verification by verify, which uses the authorities loaded at the
// time of the handshake instead of those loaded when the configuration was built.
func (k *keys) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		ServerName:         k.serverName,
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return k.verify(state, x509.ExtKeyUsageServerAuth) },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.current.Load().certificate, nil
		},
	}
}

func (k *keys) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		NextProtos:       []string{"h2"},
		ClientAuth:       tls.RequireAnyClientCert,
		VerifyConnection: func(state tls.ConnectionState) error { return k.verify(state, x509.ExtKeyUsageClientAuth) },
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &k.current.Load().certificate, nil
		},
	}
}

// verify accepts a peer whose certificate is issued by the fleet's authority and
// carries the fleet's DNS name.
func (k *keys) verify(state tls.ConnectionState, usage x509.ExtKeyUsage) error {
	err := k.verifyChain(state.PeerCertificates, usage)
	if err != nil {
		k.refused.Inc(1)
		return fmt.Errorf("verify peer certificate: %w", err)
	}
	return nil
}

func (k *keys) verifyChain(chain []*x509.Certificate, usage x509.ExtKeyUsage) error {
	if len(chain) == 0 {
		return errors.New("no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		DNSName:       k.serverName,
		Roots:         k.current.Load().authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return err
}
