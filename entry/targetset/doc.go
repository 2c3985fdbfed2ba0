// Package targetset chooses targets among those that the platform publishes
// and learns from the results of the attempts.
//
// The Manager keeps, for each target, its connections, the attempts in
// progress from this and from other VMs, and the fault estimates of package
// suspicion. Package placement chooses the target of an attempt; package
// evidence sends the results of this VM's attempts to other VMs and delivers
// theirs. A target that this VM cannot connect to gets no attempts from this VM
// until a connection opens again, whatever other VMs report: the fault may lie
// in the path rather than in the target.
package targetset
