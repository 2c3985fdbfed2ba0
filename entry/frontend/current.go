package frontend

import (
	"slices"

	"github.com/primroseloom/primroseloom/policy/offer"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

// notCurrent reports whether a VM cannot serve requests with keys.
func (f *fleet) notCurrent(vm string, v *view) bool {
	if vm == f.members.Self().GetVm() {
		return v.keysNotCurrent
	}
	return f.peerReports.KeysNotCurrent(vm)
}

// CurrentCarrier returns a VM that may be able to serve a service's requests with keys, other
// than those tried before. VMs that read the store themselves come first, since they have
// their routes confirmed also when no request came to them. One that says that it cannot, or
// that seems to have ended, is not returned: the request is then refused at once.
func (f *fleet) CurrentCarrier(service string, tried []string) (vm string, client primroseloomv1connect.PeerServiceClient, ok bool) {
	v, self := f.view.Load(), f.members.Self()
	isCurrent := func(vm offer.VM) bool {
		return vm.Name != self.GetVm() && !slices.Contains(tried, vm.Name) && !f.peerReports.KeysNotCurrent(vm.Name) &&
			!f.peerReports.IsCutOff(vm.Name, service) && !f.mayHaveEnded(vm.Name, v)
	}
	readsStore := func(vm offer.VM) bool { return isCurrent(vm) && f.peerReports.ReadsStore(vm.Name) }
	carrier, ok := f.firstCarrier(v.vms, readsStore, isCurrent)
	if !ok {
		return "", nil, false
	}
	client, ok = f.members.Client(carrier.Name)
	return carrier.Name, client, ok
}

// keyFreshness adapts the follower to the gateway.
type keyFreshness struct{ frontend *Frontend }

// Current reports whether this VM may serve requests with keys by its routes.
func (k keyFreshness) Current() bool { return k.frontend.follower.KeysCurrent() }

// Used records that a request with a key arrived.
func (k keyFreshness) Used() { k.frontend.follower.KeyUsed() }
