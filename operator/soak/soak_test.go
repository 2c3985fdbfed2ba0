package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

const shortSeed = 5

// addressBase returns a base of addresses that another run of the tests on this machine
// at the same time hardly uses.
func addressBase() int { return 100 + os.Getpid()%100 }

// TestShortSoak runs a small fleet of real daemons for a few seconds. It checks only
// the promises that do not depend on the machine's speed.
func TestShortSoak(t *testing.T) {
	daemon := filepath.Join(t.TempDir(), "primroseloomd")
	build := exec.Command("go", "build", "-o", daemon, "github.com/primroseloom/primroseloom/cmd/primroseloomd")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build the daemon: %v\n%s", err, out)
	}
	report, err := Run(t.Context(), Options{
		Seed: shortSeed, Duration: 6 * time.Second, DaemonPath: daemon, Directory: t.TempDir(),
		VMs: 4, Targets: 5, Callers: 6, CrashingRequests: 4, SilentCrashShare: 0.5, VaryCrashing: true, AddressBase: addressBase(),
	})
	if err != nil {
		t.Fatal(err)
	}
	if report.Served == 0 || len(report.Faults) == 0 {
		t.Errorf("no request was served or no fault was injected: %+v", report)
	}
	for _, v := range report.Violations {
		t.Errorf("seed %d: %.2f s: %s: %s", shortSeed, v.At, v.Promise, v.Detail)
	}
}

// TestBuildsChangePlacesAtEachRestart checks that a run with two builds has both in each zone
// and takes each VM from one to the other and back.
func TestBuildsChangePlacesAtEachRestart(t *testing.T) {
	f := &fleet{binary: "new", otherBinary: "old"}
	var first []string
	for i := range 4 {
		v := &vm{index: i}
		builds := []string{f.nextBinary(v), f.nextBinary(v), f.nextBinary(v)}
		if builds[0] == builds[1] || builds[0] != builds[2] {
			t.Errorf("VM %d runs %v one after the other", i, builds)
		}
		first = append(first, builds[0])
	}
	if first[0] == first[2] || first[1] == first[3] {
		t.Errorf("the VMs of a zone begin with one build: %v", first)
	}
	alone := &fleet{binary: "new"}
	v := &vm{index: 2}
	for range 2 {
		if build := alone.nextBinary(v); build != "new" {
			t.Errorf("a run with one build runs %q", build)
		}
	}
}
