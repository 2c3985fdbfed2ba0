package platform

import "maps"

// Copy is a copy of the values of a Platform.
type Copy struct {
	values map[string][]valueVersion
}

// Copy returns a copy of all values, from which the platform may be restored.
func (p *Platform) Copy() Copy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Copy{values: maps.Clone(p.values)}
}

// Restore replaces all values by those of a copy. What was stored since is lost, and its
// versions are assigned again.
func (p *Platform) Restore(from Copy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values = maps.Clone(from.values)
	close(p.changed)
	p.changed = make(chan struct{})
}
