package evidence

// keysNotCurrent returns what the next datagram tells of this VM's routes.
func (x *Exchange) keysNotCurrent() bool {
	return x.options.KeysNotCurrent != nil && x.options.KeysNotCurrent()
}

// KeysNotCurrent reports whether a VM said last that it cannot serve requests with keys.
func (x *Exchange) KeysNotCurrent(vm string) bool {
	return x.lately(vm, func(from *sender) bool { return from.keysNotCurrent })
}

// ReadsStore reports whether a VM said last that it reads the store itself.
func (x *Exchange) ReadsStore(vm string) bool {
	return x.lately(vm, func(from *sender) bool { return from.readsStore })
}

// lately reports whether a condition holds of a VM whose last datagram is not too old.
func (x *Exchange) lately(vm string, condition func(from *sender) bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	from, ok := x.senders[vm]
	return ok && x.options.Uptime()-from.lastReceived < silenceTimeout && condition(from)
}
