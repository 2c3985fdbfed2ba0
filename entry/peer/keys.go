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
	// keysInterval is the time between two looks at the key files.
	keysInterval = 3 * time.Second
	// fleetDomain is what follows the fleet's name in the certificates' DNS name.
	fleetDomain = ".primroseloom"
)

// FleetServerName returns the DNS name that the certificates of a fleet carry.
func FleetServerName(fleet string) string { return fleet + fleetDomain }

// keys holds what mutual TLS needs and reads it again when the files change.
type keys struct {
	off     bool
	files   TLSFiles
	name    string
	logger  *log.Logger
	refused tally.Counter
	seen    [sha256.Size]byte
	current atomic.Pointer[material]
}

type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

func loadKeys(settings Settings, logger *log.Logger, scope tally.Scope) (*keys, error) {
	k := &keys{off: settings.TLS.Off, files: settings.TLS, name: FleetServerName(settings.Fleet),
		logger: logger, refused: scope.Counter("certificates_refused")}
	if k.off {
		return k, nil
	}
	if err := k.reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// reload reads the files and takes them over when their content is new.
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
	if sum == k.seen {
		return nil
	}
	k.seen = sum
	fresh, err := k.parse(contents[0], contents[1], contents[2])
	if err != nil {
		return err
	}
	k.current.Store(fresh)
	events.PeerKeysLoaded.Log(k.logger, "certificate", k.files.CertificateFile, "valid_until", fresh.certificate.Leaf.NotAfter)
	return nil
}

func (k *keys) parse(certificate, key, authority []byte) (*material, error) {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("parse %s and %s: %w", k.files.CertificateFile, k.files.KeyFile, err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(authority) {
		return nil, fmt.Errorf("parse %s: no certificate in PEM", k.files.AuthorityFile)
	}
	if err := pair.Leaf.VerifyHostname(k.name); err != nil {
		return nil, fmt.Errorf("certificate %s is not of this fleet: %w", k.files.CertificateFile, err)
	}
	return &material{certificate: pair, authorities: authorities}, nil
}

// watch looks at the files until the context ends. Files that cannot be used
// leave the previous keys in use.
func (k *keys) watch(ctx context.Context) {
	if k.off {
		return
	}
	ticker := time.NewTicker(keysInterval)
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

// clientConfig verifies the peer in verify, with the authorities of the time
// of the handshake, instead of with those of the time when it was built.
func (k *keys) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		ServerName:         k.name,
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

// verify accepts a peer whose certificate comes from the fleet's authority and
// carries the fleet's name.
func (k *keys) verify(state tls.ConnectionState, usage x509.ExtKeyUsage) error {
	err := k.check(state.PeerCertificates, usage)
	if err != nil {
		k.refused.Inc(1)
		return fmt.Errorf("verify peer certificate: %w", err)
	}
	return nil
}

func (k *keys) check(chain []*x509.Certificate, usage x509.ExtKeyUsage) error {
	if len(chain) == 0 {
		return errors.New("no certificate")
	}
	between := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		between.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		DNSName:       k.name,
		Roots:         k.current.Load().authorities,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return err
}
