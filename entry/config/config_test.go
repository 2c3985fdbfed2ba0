package config

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/config/examples"
	"github.com/primroseloom/primroseloom/policy/generation"
	standin "github.com/primroseloom/primroseloom/standin/platform"
)

type jsonRaw = json.RawMessage

// settleTime is long enough for a started fleet to become idle.
const settleTime = 20 * time.Second

// measureChanges publishes a number of changes, 6 seconds apart, and returns the
// p99 and the longest time until a change was in force on a live VM.
func measureChanges(f *fleet, changes int) (p99, longest time.Duration) {
	var all []time.Duration
	for range changes {
		published := time.Now()
		number := f.publish()
		time.Sleep(6 * time.Second)
		all = append(all, f.timesUntilInForce(number, published)...)
	}
	slices.Sort(all)
	return all[len(all)*99/100], all[len(all)-1]
}

func TestChangeIsInForceEverywhere(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*fleet)
		bound time.Duration
	}{
		{"quiet", func(*fleet) {}, time.Second},
		{"half of the readers dead", func(f *fleet) {
			dead := 0
			for _, v := range f.vms {
				if v.manager.currentRole().Reader && dead < 3 {
					dead++
					v.kill()
				}
			}
		}, 4 * time.Second},
		{"both readers of a zone dead", func(f *fleet) {
			for _, v := range f.vms {
				if v.zone == "zone-1" && v.manager.currentRole().Reader {
					v.kill()
				}
			}
		}, 4 * time.Second},
		{"zone receives nothing from other zones", func(f *fleet) {
			f.block("zone-0", "zone-2")
			f.block("zone-1", "zone-2")
		}, 4 * time.Second},
		{"other zones receive nothing from a zone", func(f *fleet) {
			f.block("zone-2", "zone-0")
			f.block("zone-2", "zone-1")
		}, 4 * time.Second},
		{"first replica stale", func(f *fleet) {
			f.platform.Replica(0).SetFaults(standin.Faults{Frozen: true, Delay: platformDelay})
		}, 4 * time.Second},
		{"first replica accepts calls and never responds", func(f *fleet) {
			f.platform.Replica(0).SetFaults(standin.Faults{OneWay: true})
		}, 4 * time.Second},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				f := newFleet(t, examples.SoojaVee(), 2, 36)
				f.publish()
				f.startAll()
				time.Sleep(settleTime)
				test.fault(f)
				p99, longest := measureChanges(f, 5)
				t.Logf("36 VMs, %s: in force p99 %v, longest %v", test.name, p99, longest)
				if p99 > test.bound {
					t.Errorf("p99 %v, want at most %v", p99, test.bound)
				}
				f.requireNeverDecreased()
			})
		})
	}
}

func TestPlatformCallRateOfAnIdleFleetIsBounded(t *testing.T) {
	perSecond := make(map[int]float64)
	for _, count := range []int{12, 36, 100, 200} {
		bubble(t, func(t *testing.T) {
			f := newFleet(t, examples.SoojaVee(), 2, count)
			f.publish()
			f.startAll()
			time.Sleep(settleTime)
			before := f.platform.Calls()
			time.Sleep(40 * time.Second)
			perSecond[count] = float64(f.platform.Calls()-before) / 40
			t.Logf("%d VMs: %.2f platform calls a second while idle; peak of the start %d", count, perSecond[count], f.platform.PeakCallsPerSecond())
		})
	}
	if perSecond[36] > 20 {
		t.Errorf("%.1f calls a second at 36 VMs, want at most 20", perSecond[36])
	}
	if perSecond[200] > perSecond[36]*200/36/2 {
		t.Errorf("calls grow from %.2f to %.2f a second, want less than linear growth", perSecond[36], perSecond[200])
	}
}

// TestStartAfterAnOutageStaysWithinTheCallLimit starts all VMs while the platform is
// down and restores the platform when all VMs have reached their longest back-off.
func TestStartAfterAnOutageStaysWithinTheCallLimit(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, examples.SoojaVee(), 2, 200)
		number := f.publish()
		for i := range 2 {
			f.platform.Replica(i).SetFaults(standin.Faults{Down: true})
		}
		f.startAll()
		time.Sleep(30 * time.Second)
		restoredAt := time.Now()
		for i := range 2 {
			f.platform.Replica(i).SetFaults(standin.Faults{Delay: platformDelay})
		}
		time.Sleep(settleTime)
		times := f.timesUntilInForce(number, restoredAt)
		t.Logf("200 VMs: peak %d calls a second, all in force %v after the outage", f.platform.PeakCallsPerSecond(), slices.Max(times))
		if f.platform.PeakCallsPerSecond() > standin.MaxCallsPerSecond {
			t.Errorf("peak of %d calls a second", f.platform.PeakCallsPerSecond())
		}
		if slices.Max(times) > settleTime {
			t.Error("a VM has no configuration")
		}
	})
}

func TestFreshProcessGetsTheConfigurationFromPeersDuringAnOutage(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, examples.Lankaroad(), 2, 12)
		number := f.publish()
		f.startAll()
		time.Sleep(settleTime)
		for i := range 2 {
			f.platform.Replica(i).SetFaults(standin.Faults{Down: true})
		}
		time.Sleep(10 * time.Minute)
		f.vms[0].kill()
		f.vms[0].start()
		time.Sleep(4 * time.Second)
		for _, v := range f.vms {
			if v.current().Generation != number {
				t.Errorf("%s has generation %d, want %d", v.name, v.current().Generation, number)
			}
		}
	})
}

func TestChangesInABurstAreSkippedNotQueued(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, examples.SoojaVee(), 1, 12)
		f.publish()
		f.startAll()
		time.Sleep(settleTime)
		var number uint64
		for range 100 {
			number = f.publish()
			time.Sleep(50 * time.Millisecond)
		}
		published := time.Now()
		time.Sleep(2 * time.Second)
		if longest := slices.Max(f.timesUntilInForce(number, published)); longest > time.Second {
			t.Errorf("the last of 100 changes is in force after %v", longest)
		}
		f.requireNeverDecreased()
	})
}

func TestRolloutListsProblemsAndRejections(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, examples.SoojaVee(), 1, 6)
		f.publish()
		f.startAll()
		time.Sleep(settleTime)
		f.block("zone-0", "zone-2")
		f.block("zone-1", "zone-2")
		f.network.Block("10.255.0.1", "10.1.0.2")
		f.network.Block("10.255.0.1", "10.1.0.5")
		f.deploy.Customers[1].Parameters = map[string]jsonRaw{"rate": jsonRaw("9999")}
		f.publish()
		time.Sleep(settleTime)
		f.network.Unblock("10.255.0.1", "10.1.0.2")
		f.network.Unblock("10.255.0.1", "10.1.0.5")
		rollout := generation.SummarizeRollout(f.vms[0].statements())
		if rollout.Generation != 2 || rollout.Current != 4 || len(rollout.Behind) != 2 || len(rollout.Rejecting) != 4 {
			t.Errorf("rollout %+v", rollout)
		}
		for _, behind := range rollout.Behind {
			if behind.Generation != 1 || behind.Reason == "" {
				t.Errorf("behind %+v", behind)
			}
		}
	})
}

// TestConflictingRootsOfOneGenerationConverge publishes two roots of one
// generation, each on one replica, in both orders. All VMs must converge on
// one; the decider prefers the greater digest.
func TestConflictingRootsOfOneGenerationConverge(t *testing.T) {
	for _, rates := range [][2]string{{"7", "8"}, {"8", "7"}} {
		bubble(t, func(t *testing.T) {
			f := newFleet(t, examples.SoojaVee(), 2, 24)
			f.publish()
			f.startAll()
			time.Sleep(settleTime)
			f.deploy.Customers[2].Parameters = map[string]jsonRaw{"rate": jsonRaw(rates[0])}
			f.publish()
			time.Sleep(time.Second)
			f.platform.Replica(0).SetFaults(standin.Faults{Frozen: true, Delay: platformDelay})
			time.Sleep(time.Millisecond)
			f.number--
			f.deploy.Customers[2].Parameters = map[string]jsonRaw{"rate": jsonRaw(rates[1])}
			f.publish()
			time.Sleep(settleTime)
			digests := make(map[string]int)
			for _, v := range f.vms {
				digests[v.current().Digest]++
			}
			if len(digests) != 1 {
				t.Errorf("roots in force %v, want one", digests)
			}
			f.requireNeverDecreased()
		})
	}
}

// TestRandomFaultsNeverDecreaseTheGeneration publishes, kills and restarts VMs,
// blocks zones and breaks replicas at random, and then clears all faults: the
// generation of no process may have decreased, and all must end with the last one.
func TestRandomFaultsNeverDecreaseTheGeneration(t *testing.T) {
	for seed := range uint64(5) {
		bubble(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 9))
			f := newFleet(t, examples.SoojaVee(), 2, 9)
			f.publish()
			f.startAll()
			faults := []standin.Faults{{}, {}, {Frozen: true}, {Down: true}, {OneWay: true}, {Lag: 5 * time.Second}}
			for range 80 {
				v := f.vms[random.IntN(len(f.vms))]
				switch random.IntN(6) {
				case 0:
					v.kill()
				case 1:
					if v.dead {
						v.start()
					}
				case 2:
					f.setBlocked(v.zone, f.vms[random.IntN(3)].zone, random.IntN(2) == 0)
				case 3:
					f.platform.Replica(random.IntN(2)).SetFaults(faults[random.IntN(len(faults))])
				default:
					f.publish()
				}
				time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
			}
			f.clearFaults()
			number := f.publish()
			time.Sleep(settleTime)
			for _, v := range f.vms {
				if v.current().Generation != number {
					t.Errorf("seed %d: %s ends with generation %d, want %d", seed, v.name, v.current().Generation, number)
				}
			}
			f.requireNeverDecreased()
		})
	}
}

// TestOthersReadThePlatformWhenNoReaderCan blocks the readers' path to the
// platform but not to their peers; the other VMs must then read the platform.
func TestOthersReadThePlatformWhenNoReaderCan(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, examples.SoojaVee(), 1, 36)
		f.publish()
		f.startAll()
		time.Sleep(settleTime)
		for _, v := range f.vms {
			if v.manager.currentRole().Reader {
				f.network.Block("10.255.0.1", v.ip())
				defer f.network.Unblock("10.255.0.1", v.ip())
			}
		}
		published := time.Now()
		number := f.publish()
		before := f.platform.Calls()
		time.Sleep(2 * time.Minute)
		longest := slices.Max(f.timesUntilInForce(number, published))
		rate := float64(f.platform.Calls()-before) / 120
		t.Logf("36 VMs, no reader can reach the platform: in force after %v, %.1f calls a second", longest, rate)
		if longest > generation.ConfirmationMaxAge+2*generation.FallbackReadInterval || rate > 20 {
			t.Errorf("in force after %v at %.1f calls a second", longest, rate)
		}
	})
}
