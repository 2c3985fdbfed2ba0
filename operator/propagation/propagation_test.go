package propagation

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/primroseloom/primroseloom/platform"
)

// addressBase returns a base of addresses that another run of the tests on this machine at the same time hardly uses.
func addressBase() int { return 40 + os.Getpid()%50 }

// TestDesignSizeFillsAValue checks that the routes of DesignSize have about as many bytes as a value of the store
// may have, and no more.
func TestDesignSizeFillsAValue(t *testing.T) {
	deployment := DesignSize
	deployment.Targets = 0
	s := newMeteredStore(deployment)
	s.publish()
	address, err := s.serve(t.Context(), addressBase())
	if err != nil {
		t.Fatal(err)
	}
	listing, err := platform.NewStore(address, (&net.Dialer{}).DialContext).List(t.Context())
	if err != nil || len(listing.Items) != 1 {
		t.Fatalf("%d items, %v", len(listing.Items), err)
	}
	const valueBytes = 1 << 20
	if size := len(listing.Items[0].Value); size > valueBytes || size < valueBytes*19/20 {
		t.Errorf("the routes have %d bytes, want %d to %d", size, valueBytes*19/20, valueBytes)
	}
}

// TestSmallFleetHasAllVersions checks that the cases can be played, and that each version is in force everywhere.
func TestSmallFleetHasAllVersions(t *testing.T) {
	daemon := filepath.Join(t.TempDir(), "primroseloomd")
	build := exec.Command("go", "build", "-o", daemon, "github.com/primroseloom/primroseloom/cmd/primroseloomd")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build the daemon: %v\n%s", err, out)
	}
	results, err := Run(t.Context(), Options{
		DaemonPath: daemon, Directory: t.TempDir(), VMs: 4, AddressBase: addressBase(),
		Deployment: Deployment{Targets: 50, Services: 5, Routes: 20, Customers: 3},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range results {
		if r.Missing > 0 || r.StoreCalls == 0 || r.CoreMs == 0 || r.PeakMB == 0 {
			t.Errorf("%+v", r)
		}
	}
	if len(results) != 9 {
		t.Errorf("%d cases", len(results))
	}
}
