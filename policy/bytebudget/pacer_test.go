package bytebudget

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// TestLargePartsStayWithinTheLink guards against large responses that fill the link's queue,
// behind which small responses then wait.
func TestLargePartsStayWithinTheLink(t *testing.T) {
	properties := gopter.NewProperties(parameters())
	properties.Property("parts that are due by a time fit the link", prop.ForAll(func(gaps []int64) bool {
		const part = 16 << 10
		p, now := NewPacer(10), time.Hour
		began, sent := now, 0.0
		for _, gap := range gaps {
			now += time.Duration(gap) * time.Millisecond
			writes := now + p.Large(part, now)
			allowed := (writes-began+paceBurst).Seconds()*p.bytesPerSecond + part
			if sent += part; sent > allowed+1 {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.Int64Range(0, 60))))
	properties.TestingRun(t)
}

func TestPartOfAnIdleLinkIsWrittenAtOnce(t *testing.T) {
	p := NewPacer(10)
	if wait := p.Large(16<<10, time.Hour); wait != 0 {
		t.Errorf("the first part waits %v", wait)
	}
}

// TestSmallResponsesDoNotStopLargeOnes guards against large responses that never go on while
// small ones need all of the link.
func TestSmallResponsesDoNotStopLargeOnes(t *testing.T) {
	p, now := NewPacer(10), time.Hour
	for range 10_000 {
		p.Small(4_000, now)
	}
	if wait := p.Large(16<<10, now); wait > maxSmallLead {
		t.Errorf("a large response waits %v", wait)
	}
}

// TestSmallResponsesDelayLargeOnes guards against large responses that use the part of the
// link that small ones need.
func TestSmallResponsesDelayLargeOnes(t *testing.T) {
	p, now := NewPacer(10), time.Hour
	p.Small(100_000, now)
	if wait := p.Large(16<<10, now); wait < 50*time.Millisecond {
		t.Errorf("a large response waits only %v", wait)
	}
}
