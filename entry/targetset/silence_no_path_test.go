package targetset

import (
	"testing"
	"testing/synctest"

	"github.com/primroseloom/primroseloom/standin/memnet"
)

// TestPathThatCarriesNothingIsFoundWithoutHealthPath guards against a VM behind a middle box that
// accepts connections and drops what is sent, which takes each connection that opens for a response
// where the routes name no health path, and goes on losing its requests.
func TestPathThatCarriesNothingIsFoundWithoutHealthPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(8)
		setPath := f.startTargets(t, memnet.New(), 8)
		setPath(pathSwallows)
		givenUp := f.leaveLate(t, lossesForTest, true)
		if len(f.CutOffServices()) == 0 || givenUp == 0 {
			t.Errorf("cut off from %v, %d attempts given up, although no request gets through", f.CutOffServices(), givenUp)
		}
	})
}
