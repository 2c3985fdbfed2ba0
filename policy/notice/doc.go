// Package notice holds what targets say of themselves in their responses: that they
// limit the rate of their requests, that they leave, and that they want a pause.
//
// A notice binds from the response that carries it, whatever the store says of the
// target, until the target says otherwise or starts anew. A rate limit holds for all VMs
// together and is lifted by a response without it to a request that was sent when the
// limit was known; earlier requests may have been answered before the target named it. A
// target that leaves does not come back. A pause holds for the VM that was asked for it.
//
// VMs tell one another of limits and of leaving targets as state, with the age of what
// they tell: the latest word holds, in whatever order and however often reports arrive.
//
// Times are the instance's uptime.
package notice
