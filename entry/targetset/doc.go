// Package targetset chooses targets among those that the platform publishes
// and learns from the ends of the attempts.
//
// The Manager holds, for each target, its connections, the attempts in
// progress here and on other VMs, and the estimates of package suspicion. It
// asks package placement for a target, tells package evidence how attempts
// ended, and takes over what other VMs tell. A target that this VM cannot
// connect to is left out here until a connection opens again, whatever other
// VMs say: that is a fault of the path and no fault of the target.
package targetset
