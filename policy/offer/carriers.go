package offer

import (
	"math/rand/v2"
	"slices"
)

// Carrier returns the VM to which another VM of a zone forwards a request that it can't serve
// itself: of two drawn among the primary VMs that may carry it, the one with the smaller
// load. VMs of the same zone come first, since traffic between zones costs more. When no
// primary VM may carry the request, any other usable VM does: the primary VMs may all have
// ended, which takes a while to be known. ok is false when there is none.
func Carrier(vms []VM, zone string, settings Settings, mayCarry func(VM) bool, random *rand.Rand) (carrier VM, ok bool) {
	if carrier, ok = carrierAmong(ChoosePrimaryVMs(vms, settings).All(), zone, mayCarry, random); ok {
		return carrier, true
	}
	return carrierAmong(vms, zone, mayCarry, random)
}

// carrierAmong returns a carrier among VMs, those of a zone first.
func carrierAmong(vms []VM, zone string, mayCarry func(VM) bool, random *rand.Rand) (carrier VM, ok bool) {
	var near, far []VM
	for _, vm := range vms {
		switch {
		case !vm.Usable || !mayCarry(vm):
		case vm.Zone == zone:
			near = append(near, vm)
		default:
			far = append(far, vm)
		}
	}
	if len(near) > 0 {
		return lessLoaded(near, random), true
	}
	if len(far) > 0 {
		return lessLoaded(far, random), true
	}
	return VM{}, false
}

// lessLoaded draws two of the VMs and returns the one with the smaller load.
func lessLoaded(vms []VM, random *rand.Rand) VM {
	one, other := vms[random.IntN(len(vms))], vms[random.IntN(len(vms))]
	if other.load() < one.load() {
		return other
	}
	return one
}

// load returns the part of the VM's capacity that is used.
func (v VM) load() float64 {
	if v.Capacity == 0 {
		return 0
	}
	return v.Rate / float64(v.Capacity)
}

// WithoutCutOff returns the VMs with those that are cut off from targets marked as not
// usable, unless no usable VM would be left: then being cut off distinguishes none.
func WithoutCutOff(vms []VM, isCutOff func(VM) bool) []VM { return without(vms, isCutOff) }

// WithoutKeysNotCurrent returns the VMs with those that cannot serve requests with keys marked
// as not usable, unless no usable VM would be left.
func WithoutKeysNotCurrent(vms []VM, isNotCurrent func(VM) bool) []VM {
	return without(vms, isNotCurrent)
}

// without returns the VMs with those that meet a condition marked as not usable, unless no
// usable VM would be left.
func without(vms []VM, isLeftOut func(VM) bool) []VM {
	if !slices.ContainsFunc(vms, isLeftOut) {
		return vms
	}
	marked := slices.Clone(vms)
	left := false
	for i, vm := range marked {
		marked[i].Usable = vm.Usable && !isLeftOut(vm)
		left = left || marked[i].Usable
	}
	if !left {
		return vms
	}
	return marked
}
