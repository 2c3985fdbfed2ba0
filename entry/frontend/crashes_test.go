package frontend

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/entry/evidence"
)

// crashPair returns the trackers of two VMs that report crashes to each other.
func crashPair(now *time.Duration) (one, other *crashTracker) {
	uptime := func() time.Duration { return *now }
	one, other = newCrashTracker(log.New(io.Discard), tally.NoopScope, uptime), newCrashTracker(log.New(io.Discard), tally.NoopScope, uptime)
	one.publish = func(crash evidence.Crash) { other.RecordCrash(crash) }
	other.publish = func(crash evidence.Crash) { one.RecordCrash(crash) }
	return one, other
}

// TestRequestThatCrashesItsTargetsIsRefusedEverywhere sends a request that
// crashes each target that runs it through changing VMs.
func TestRequestThatCrashesItsTargetsIsRefusedEverywhere(t *testing.T) {
	now := time.Minute
	one, other := crashPair(&now)
	for i, through := range []*crashTracker{one, other, one} {
		if through.Refuses(7) {
			t.Fatalf("refused after %d crashes", i)
		}
		through.ReportCrash(7, "t"+string(rune('0'+i)))
		now += time.Second
	}
	if !one.Refuses(7) || !other.Refuses(7) {
		t.Errorf("after %d crashes refused: %v, %v", crashesToRefuse, one.Refuses(7), other.Refuses(7))
	}
}

// TestPopularRequestIsNotRefusedForClosedConnections requests the same page for
// many callers of one address, while partly failing targets close connections now
// and then. Such a page must not be refused as if it crashed the targets.
func TestPopularRequestIsNotRefusedForClosedConnections(t *testing.T) {
	now := time.Minute
	one, other := crashPair(&now)
	for i := range 30 {
		one.ReportCrash(7, "t"+string(rune('0'+i%8)))
		now += time.Second
		other.ReportResponse(7)
		if one.Refuses(7) || other.Refuses(7) {
			t.Fatalf("refused after %d closed connections, each followed by a response", i+1)
		}
	}
}
