package soak

import (
	"net"
	"time"
)

// partition is how a daemon is cut off from all targets, while callers, the store and the
// other daemons reach it.
type partition int

// The partitions.
const (
	partitionNone partition = iota
	// partitionResets resets the open connections, and new ones as soon as they are open.
	partitionResets
	// partitionSilent passes nothing on, neither on open connections nor on new ones.
	partitionSilent
)

const (
	// minPartitionTime and maxPartitionTime bound how long daemons are cut off; longer than
	// the time after which they must serve as well as the others.
	minPartitionTime, maxPartitionTime = StabilityTime + 2*time.Second, StabilityTime + 6*time.Second
	// minPartitionShare and maxPartitionShare bound the share of the daemons that are cut
	// off; in one of zonePartitionOneIn cases it is a whole zone.
	minPartitionShare, maxPartitionShare = 0.2, 0.7
	zonePartitionOneIn                   = 3
)

// partitionOf returns the partition of a client.
func (l *link) partitionOf(client net.Conn) partition {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cutSources[sourceOf(client)]
}

// setPartition sets the partition of the clients at an IP address; partitionNone ends it.
func (l *link) setPartition(source string, p partition) {
	l.mu.Lock()
	l.cutSources[source] = p
	var cut []*linkConn
	for c := range l.conns {
		if sourceOf(c.client) == source {
			cut = append(cut, c)
		}
	}
	l.mu.Unlock()
	if p != partitionResets {
		return
	}
	for _, c := range cut {
		reset(c.client)
		reset(c.server)
	}
}

// partitionDaemons cuts some daemons off from all targets for a while.
func (s *series) partitionDaemons() {
	s.soak.countFault("partition")
	cut := s.drawPartitioned()
	how := []partition{partitionResets, partitionSilent}[s.random.IntN(2)]
	from := time.Now()
	s.soak.setPartition(cut, how)
	time.Sleep(s.drawDuration(minPartitionTime, maxPartitionTime))
	s.soak.checker.recordPartition(cut, from, time.Now())
	s.soak.setPartition(cut, partitionNone)
}

// drawPartitioned draws the daemons to cut off: a share of all or a whole zone.
func (s *series) drawPartitioned() []*vm {
	var cut []*vm
	vms := s.soak.fleet.vms
	if s.random.IntN(zonePartitionOneIn) == 0 {
		zone := vms[s.random.IntN(len(vms))].settings.Zone
		for _, v := range vms {
			if v.settings.Zone == zone {
				cut = append(cut, v)
			}
		}
		return cut
	}
	share := minPartitionShare + s.random.Float64()*(maxPartitionShare-minPartitionShare)
	for _, i := range s.random.Perm(len(vms))[:max(int(share*float64(len(vms))), 1)] {
		cut = append(cut, vms[i])
	}
	return cut
}

// setPartition sets the partition of daemons at the links of all targets, also those that
// are added later.
func (s *soak) setPartition(vms []*vm, p partition) {
	s.mu.Lock()
	links := s.links
	for _, v := range vms {
		s.partitions[v.settings.SourceAddress] = p
	}
	s.mu.Unlock()
	for _, l := range links {
		for _, v := range vms {
			l.setPartition(v.settings.SourceAddress, p)
		}
	}
}
