package quarantine

import (
	"testing"
	"time"
)

func TestSecondCrashedTargetQuarantines(t *testing.T) {
	table := NewTable()
	if d := table.Admit(7, time.Second, 0); d.Action != ActionRun || d.Suspect {
		t.Fatalf("unknown request: %+v", d)
	}
	table.Crashed(7, "booking", "t1", 0)
	table.Crashed(7, "booking", "t1", 0)
	first := table.Admit(7, 3*time.Second, time.Second)
	if first.Action != ActionRun || !first.Suspect {
		t.Fatalf("suspect after one target: %+v", first)
	}
	if d := table.Admit(7, 3*time.Second, time.Second); d.Action != ActionWait || d.RetryAfter != 2*time.Second {
		t.Fatalf("second attempt of a suspect: %+v", d)
	}
	table.Ended(7)
	table.Crashed(7, "booking", "t2", 2*time.Second)
	if d := table.Admit(7, 9*time.Second, 2*time.Second); d.Action != ActionRefuse || d.RetryAfter != QuarantineTime {
		t.Fatalf("after two targets: %+v", d)
	}
	if table.Answered(7) {
		t.Error("an answer lifted a quarantine")
	}
	if d := table.Admit(7, 0, 2*time.Second+QuarantineTime); d.Action != ActionRun {
		t.Errorf("after the quarantine: %+v", d)
	}
}

func TestAnswerClearsBystander(t *testing.T) {
	table := NewTable()
	table.Crashed(8, "booking", "t1", 0)
	table.Admit(8, time.Second, 0)
	if !table.Answered(8) {
		t.Fatal("the answer did not clear the suspect")
	}
	table.Crashed(8, "booking", "t2", time.Second)
	if d := table.Admit(8, 2*time.Second, time.Second); d.Action != ActionRun {
		t.Errorf("bystander of two crashes with an answer between: %+v", d)
	}
}

func TestRemoteAttemptHoldsLocalOnes(t *testing.T) {
	table := NewTable()
	table.Crashed(9, "booking", "t1", 0)
	table.RemoteAttempt(9, 0)
	if d := table.Admit(9, time.Second, 0); d.Action != ActionWait {
		t.Errorf("while another VM runs it: %+v", d)
	}
	table.RemoteEnded(9)
	if d := table.Admit(9, time.Second, 0); d.Action != ActionRun {
		t.Errorf("after the other VM's attempt: %+v", d)
	}
}

func TestQuarantineOfAnotherVMIsTakenOverForItsRest(t *testing.T) {
	table := NewTable()
	table.Quarantine(7, "booking", time.Minute, 0)
	table.Quarantine(7, "booking", time.Hour, 0)
	if d := table.Admit(7, 0, 30*time.Second); d.Action != ActionRefuse || d.RetryAfter != 30*time.Second {
		t.Errorf("within its rest: %+v", d)
	}
	if d := table.Admit(7, 0, time.Minute); d.Action != ActionRun {
		t.Errorf("after its rest: %+v", d)
	}
}

func TestRecalledSuspectCountsOnce(t *testing.T) {
	table := NewTable()
	for i := range 3 {
		table.Recall(7, "booking", "t1", time.Duration(i)*time.Minute)
	}
	if d := table.Admit(7, 0, 3*time.Minute); d.Action != ActionRun || !d.Suspect {
		t.Errorf("recalled three times: %+v", d)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	table := NewTable()
	for i := range Fingerprint(2 * MaxSuspects) {
		table.Crashed(i, "booking", "t1", time.Duration(i))
	}
	if n := len(table.List(0)); n != MaxSuspects {
		t.Errorf("%d suspects, want %d", n, MaxSuspects)
	}
	for i := range Fingerprint(2 * MaxQuarantines) {
		table.Crashed(i, "booking", "t1", time.Second)
		table.Crashed(i, "booking", "t2", time.Second)
	}
	if table.quarantines != MaxQuarantines {
		t.Errorf("%d quarantines, want %d", table.quarantines, MaxQuarantines)
	}
	if !table.Lift(2*MaxQuarantines-1) || table.Lift(2*MaxQuarantines-1) {
		t.Error("lifting twice")
	}
}
