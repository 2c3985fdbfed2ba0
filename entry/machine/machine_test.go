package machine

import "testing"

func TestMemoryIsThatOfAMachine(t *testing.T) {
	const least, most = 64, 1e9
	got, err := MemoryMB()
	if err != nil || got < least || got > most {
		t.Errorf("%v MB, %v", got, err)
	}
}
