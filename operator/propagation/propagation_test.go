package propagation

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// TestDesignSizeFillsAValue checks that the routes of DesignSize have about as many bytes as a value of the store
// may have, and no more.
func TestDesignSizeFillsAValue(t *testing.T) {
	deployment := DesignSize
	deployment.Targets = 0
	s := newMeteredStore(deployment)
	s.publish()
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/kv-range?path_prefix=", nil))
	var page struct {
		Items []struct {
			Value []byte `json:"value"`
		} `json:"items"`
	}
	if err := json.Unmarshal(recorder.Body.Bytes(), &page); err != nil || len(page.Items) != 1 {
		t.Fatalf("%d items, %v", len(page.Items), err)
	}
	const valueBytes = 1 << 20
	if size := len(page.Items[0].Value); size > valueBytes || size < valueBytes*19/20 {
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
		DaemonPath: daemon, Directory: t.TempDir(), VMs: 4, AddressBase: 40 + os.Getpid()%50,
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
