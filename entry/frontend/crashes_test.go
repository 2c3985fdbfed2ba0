package frontend

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/primroseloom/primroseloom/entry/evidence"
)

// crashPair is the tables of two VMs that tell each other.
func crashPair(now *time.Duration) (one, other *crashes) {
	uptime := func() time.Duration { return *now }
	one, other = newCrashes(log.New(io.Discard), uptime), newCrashes(log.New(io.Discard), uptime)
	one.tell = func(crash evidence.Crash) { other.Crashed(crash) }
	other.tell = func(crash evidence.Crash) { one.Crashed(crash) }
	return one, other
}

// TestRequestThatCrashesItsTargetsIsRefusedEverywhere is a request that takes
// down each target that runs it, sent through changing VMs.
func TestRequestThatCrashesItsTargetsIsRefusedEverywhere(t *testing.T) {
	now := time.Minute
	one, other := crashPair(&now)
	for i, through := range []*crashes{one, other, one} {
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

// TestPopularRequestIsNotTakenForOneThatCrashes is a page that many callers of one
// address ask for, while gray targets close connections now and then.
func TestPopularRequestIsNotTakenForOneThatCrashes(t *testing.T) {
	now := time.Minute
	one, other := crashPair(&now)
	for i := range 30 {
		one.ReportCrash(7, "t"+string(rune('0'+i%8)))
		now += time.Second
		other.ReportResponse(7)
		if one.Refuses(7) || other.Refuses(7) {
			t.Fatalf("refused after %d closed connections, each followed by an answer", i+1)
		}
	}
}
