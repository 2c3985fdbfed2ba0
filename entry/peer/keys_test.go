package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/standin/memnet"
)

// authority is a certificate authority for tests.
type authority struct {
	t           testing.TB
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newAuthority(t testing.TB) *authority {
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	content, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, _ := x509.ParseCertificate(content)
	return &authority{t: t, certificate: certificate, key: key, serial: 1}
}

// issue writes a new certificate of a fleet, its key and the authority's certificate
// into a directory.
func (a *authority) issue(directory, fleet string) TLSFiles {
	a.t.Helper()
	a.serial++
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{SerialNumber: big.NewInt(a.serial), DNSNames: []string{FleetServerName(fleet)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}
	content, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	private, _ := x509.MarshalECPrivateKey(key)
	files := TLSFiles{CertificateFile: filepath.Join(directory, "cert.pem"), KeyFile: filepath.Join(directory, "key.pem"),
		AuthorityFile: filepath.Join(directory, "authority.pem")}
	a.write(files.CertificateFile, "CERTIFICATE", content)
	a.write(files.KeyFile, "EC PRIVATE KEY", private)
	a.write(files.AuthorityFile, "CERTIFICATE", a.certificate.Raw)
	return files
}

// write writes a PEM file.
func (a *authority) write(path, kind string, content []byte) {
	a.t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// TestServerRefusesClientOfOtherFleetOrAuthority guards against a server that accepts
// a certificate of another fleet or authority, the authority's own certificate, or a
// client without a certificate.
func TestServerRefusesClientOfOtherFleetOrAuthority(t *testing.T) {
	signer, other := newAuthority(t), newAuthority(t)
	k := &keys{files: signer.issue(t.TempDir(), "spa"), serverName: FleetServerName("spa"), logger: log.New(io.Discard), refused: tally.NoopScope.Counter("")}
	if err := k.reload(); err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		files    TLSFiles
		accepted bool
	}{
		"same fleet":       {signer.issue(t.TempDir(), "spa"), true},
		"other fleet":      {signer.issue(t.TempDir(), "barge"), false},
		"other authority":  {other.issue(t.TempDir(), "spa"), false},
		"authority itself": {TLSFiles{CertificateFile: k.files.AuthorityFile}, false},
	}
	for name, c := range cases {
		content, _ := os.ReadFile(c.files.CertificateFile)
		block, _ := pem.Decode(content)
		certificate, _ := x509.ParseCertificate(block.Bytes)
		state := tls.ConnectionState{PeerCertificates: []*x509.Certificate{certificate}}
		if err := k.serverConfig().VerifyConnection(state); (err == nil) != c.accepted {
			t.Errorf("%s: %v, want accepted %v", name, err, c.accepted)
		}
	}
	if k.serverConfig().VerifyConnection(tls.ConnectionState{}) == nil {
		t.Error("a client without a certificate was accepted")
	}
}

func TestOnlyInstancesWithKeysOfTheFleetJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		signer, other := newAuthority(t), newAuthority(t)
		issuers := []*authority{signer, signer, signer, other, signer}
		fleets := []string{"spa", "spa", "spa", "spa", "barge"}
		f := &fleet{t: t, network: memnet.New(), name: "spa"}
		f.tls = func(i int) TLSFiles { return issuers[i].issue(t.TempDir(), fleets[i]) }
		defer f.stop()
		for i := range 4 {
			f.start(i)
		}
		f.name = "barge"
		f.start(4)
		time.Sleep(5 * time.Second)
		f.expectAlive(3, 0, 1, 2)
		f.expectAlive(1, 3, 4)
		if f.counterValue(0, "handshakes_failed") == 0 || f.counterValue(3, "certificates_refused") == 0 {
			t.Error("refused certificates were not counted on both sides")
		}
	})
}

func TestReplacedKeysAreLoadedAndInvalidOnesRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		signer := newAuthority(t)
		directory := t.TempDir()
		f := &fleet{t: t, network: memnet.New(), name: "spa"}
		f.tls = func(int) TLSFiles { return signer.issue(directory, "spa") }
		defer f.stop()
		m := f.start(0)
		first := m.keys.current.Load()
		files := signer.issue(directory, "spa")
		time.Sleep(2 * keysCheckInterval)
		second := m.keys.current.Load()
		if second == first {
			t.Error("the replaced files were not loaded")
		}
		if err := os.WriteFile(files.KeyFile, []byte("not a key"), 0o600); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * keysCheckInterval)
		if m.keys.current.Load() != second {
			t.Error("an invalid key file replaced the valid keys in use")
		}
	})
}

func TestTLSOffIsLoggedAtEachStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var output strings.Builder
		settings := Settings{Fleet: "spa", VM: "vm0", TLS: TLSFiles{Off: true}}
		m, err := New(settings, memnet.New().Host(ip(0)), log.New(&output), tally.NoopScope)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := contextFor(time.Second)
		defer cancel()
		_ = m.Run(ctx)
		if !strings.Contains(output.String(), "event=3014") {
			t.Errorf("log output %q has no warning that TLS is off", output.String())
		}
	})
}

func TestNewFailsWithoutKeys(t *testing.T) {
	_, err := New(Settings{Fleet: "spa", VM: "vm0"}, memnet.New().Host(ip(0)), log.New(&strings.Builder{}), tally.NoopScope)
	if err == nil {
		t.Error("New succeeded without key files although TLS is on")
	}
}
