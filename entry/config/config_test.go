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

// settle is long enough for a started fleet to be quiet.
const settle = 20 * time.Second

// measure publishes a number of changes a second apart and returns the p99 and
// the longest time until a change was in force on a live VM.
func measure(f *fleet, changes int) (p99, longest time.Duration) {
	var all []time.Duration
	for range changes {
		published := time.Now()
		number := f.publish()
		time.Sleep(6 * time.Second)
		all = append(all, f.inForce(number, published)...)
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
		{"zone hears nobody", func(f *fleet) {
			f.block("zone-0", "zone-2")
			f.block("zone-1", "zone-2")
		}, 4 * time.Second},
		{"nobody hears a zone", func(f *fleet) {
			f.block("zone-2", "zone-0")
			f.block("zone-2", "zone-1")
		}, 4 * time.Second},
		{"first replica stale", func(f *fleet) {
			f.platform.Replica(0).SetFaults(standin.Faults{Frozen: true, Delay: platformDelay})
		}, 4 * time.Second},
		{"first replica takes calls and never answers", func(f *fleet) {
			f.platform.Replica(0).SetFaults(standin.Faults{OneWay: true})
		}, 4 * time.Second},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				f := newFleet(t, examples.SoojaVee(), 2, 36)
				f.publish()
				f.startAll()
				time.Sleep(settle)
				test.fault(f)
				p99, longest := measure(f, 5)
				t.Logf("36 VMs, %s: in force p99 %v, longest %v", test.name, p99, longest)
				if p99 > test.bound {
					t.Errorf("p99 %v, want at most %v", p99, test.bound)
				}
				f.requireNeverFell()
			})
		})
	}
}

func TestPlatformCallsOfAQuietFleet(t *testing.T) {
	perSecond := make(map[int]float64)
	for _, count := range []int{12, 36, 100, 200} {
		bubble(t, func(t *testing.T) {
			f := newFleet(t, examples.SoojaVee(), 2, count)
			f.publish()
			f.startAll()
			time.Sleep(settle)
			before := f.platform.Calls()
			time.Sleep(40 * time.Second)
			perSecond[count] = float64(f.platform.Calls()-before) / 40
			t.Logf("%d VMs: %.2f platform calls a second, quiet; peak of the start %d", count, perSecond[count], f.platform.PeakCalls())
		})
	}
	if perSecond[36] > 20 {
		t.Errorf("%.1f calls a second at 36 VMs, want at most 20", perSecond[36])
	}
	if perSecond[200] > perSecond[36]*200/36/2 {
		t.Errorf("calls grow from %.2f to %.2f a second, want less than linear growth", perSecond[36], perSecond[200])
	}
}

// TestStartAfterAnOutage starts all VMs while the platform is down and brings
// the platform back when all have long reached their longest back-off.
func TestStartAfterAnOutage(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, examples.SoojaVee(), 2, 200)
		number := f.publish()
		for i := range 2 {
			f.platform.Replica(i).SetFaults(standin.Faults{Down: true})
		}
		f.startAll()
		time.Sleep(30 * time.Second)
		back := time.Now()
		for i := range 2 {
			f.platform.Replica(i).SetFaults(standin.Faults{Delay: platformDelay})
		}
		time.Sleep(settle)
		times := f.inForce(number, back)
		t.Logf("200 VMs: peak %d calls a second, all in force %v after the outage", f.platform.PeakCalls(), slices.Max(times))
		if f.platform.PeakCalls() > standin.CallLimit {
			t.Errorf("peak of %d calls a second", f.platform.PeakCalls())
		}
		if slices.Max(times) > settle {
			t.Error("a VM has no configuration")
		}
	})
}

func TestFreshProcessGetsTheConfigurationFromPeersDuringAnOutage(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, examples.Lankaroad(), 2, 12)
		number := f.publish()
		f.startAll()
		time.Sleep(settle)
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
		time.Sleep(settle)
		var number uint64
		for range 100 {
			number = f.publish()
			time.Sleep(50 * time.Millisecond)
		}
		published := time.Now()
		time.Sleep(2 * time.Second)
		if longest := slices.Max(f.inForce(number, published)); longest > time.Second {
			t.Errorf("the last of 100 changes is in force after %v", longest)
		}
		f.requireNeverFell()
	})
}

func TestProblemsAndRejectionsAreTracked(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, examples.SoojaVee(), 1, 6)
		f.publish()
		f.startAll()
		time.Sleep(settle)
		f.block("zone-0", "zone-2")
		f.block("zone-1", "zone-2")
		f.network.Block("10.255.0.1", "10.1.0.2")
		f.network.Block("10.255.0.1", "10.1.0.5")
		f.deploy.Customers[1].Parameters = map[string]jsonRaw{"rate": jsonRaw("9999")}
		f.publish()
		time.Sleep(settle)
		f.network.Unblock("10.255.0.1", "10.1.0.2")
		f.network.Unblock("10.255.0.1", "10.1.0.5")
		track := generation.SummarizeRollout(f.vms[0].statements())
		if track.Generation != 2 || track.Current != 4 || len(track.Behind) != 2 || len(track.Rejecting) != 4 {
			t.Errorf("track %+v", track)
		}
		for _, behind := range track.Behind {
			if behind.Generation != 1 || behind.Reason == "" {
				t.Errorf("behind %+v", behind)
			}
		}
	})
}

// TestTwoRootsOfOneGenerationEndAsOne shows each replica another root of one
// generation, in both orders; all VMs take the one with the greater digest.
func TestTwoRootsOfOneGenerationEndAsOne(t *testing.T) {
	for _, rates := range [][2]string{{"7", "8"}, {"8", "7"}} {
		bubble(t, func(t *testing.T) {
			f := newFleet(t, examples.SoojaVee(), 2, 24)
			f.publish()
			f.startAll()
			time.Sleep(settle)
			f.deploy.Customers[2].Parameters = map[string]jsonRaw{"rate": jsonRaw(rates[0])}
			f.publish()
			time.Sleep(time.Second)
			f.platform.Replica(0).SetFaults(standin.Faults{Frozen: true, Delay: platformDelay})
			time.Sleep(time.Millisecond)
			f.number--
			f.deploy.Customers[2].Parameters = map[string]jsonRaw{"rate": jsonRaw(rates[1])}
			f.publish()
			time.Sleep(settle)
			digests := make(map[string]int)
			for _, v := range f.vms {
				digests[v.current().Digest]++
			}
			if len(digests) != 1 {
				t.Errorf("roots in force %v, want one", digests)
			}
			f.requireNeverFell()
		})
	}
}

// TestRandomFaultsNeverLetAGenerationFall publishes, kills and restarts VMs,
// cuts zones and breaks replicas at random, and then mends everything: no
// process has gone back, and all end with the last generation.
func TestRandomFaultsNeverLetAGenerationFall(t *testing.T) {
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
			f.mend()
			number := f.publish()
			time.Sleep(settle)
			for _, v := range f.vms {
				if v.current().Generation != number {
					t.Errorf("seed %d: %s ends with generation %d, want %d", seed, v.name, v.current().Generation, number)
				}
			}
			f.requireNeverFell()
		})
	}
}

// TestOthersReadThePlatformWhenNoReaderCan cuts the readers from the platform,
// not from their peers.
func TestOthersReadThePlatformWhenNoReaderCan(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, examples.SoojaVee(), 1, 36)
		f.publish()
		f.startAll()
		time.Sleep(settle)
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
		longest := slices.Max(f.inForce(number, published))
		rate := float64(f.platform.Calls()-before) / 120
		t.Logf("36 VMs, no reader reaches the platform: in force after %v, %.1f calls a second", longest, rate)
		if longest > generation.ConfirmationMaxAge+2*generation.FallbackReadInterval || rate > 20 {
			t.Errorf("in force after %v at %.1f calls a second", longest, rate)
		}
	})
}
