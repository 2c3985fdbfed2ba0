package snapshot

import (
	"testing"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/examples"
)

// TestBuildKeepsEveryKindOfAShard guards against a fault in which Build silently
// dropped all but the first kind of a shard with several kinds.
func TestBuildKeepsEveryKindOfAShard(t *testing.T) {
	deployment := examples.SoojaVee()
	mixed := document.Shard(deployment)
	snap := Build(1, []document.Shard{mixed}, nil)
	if got := len(snap.Services()); got != len(deployment.Services) {
		t.Errorf("%d services, want %d", got, len(deployment.Services))
	}
	if got := snap.CustomerCount(); got != len(deployment.Customers) {
		t.Errorf("%d customers, want %d", got, len(deployment.Customers))
	}
	if _, ok := snap.Route(deployment.Routes[0].Host, "/"); !ok {
		t.Error("the routes are lost")
	}
}
