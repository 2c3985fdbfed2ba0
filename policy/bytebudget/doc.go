// Package bytebudget accounts for the bytes that a VM holds for requests and responses,
// and for the part of its link that large responses may use.
//
// The budget is a part of the VM's memory (Limit). A request reserves bytes before its
// attempt begins: a fixed amount for itself, its body, and what the responses of its route
// usually need (Sizes). The reservation grows while the response is read and is released as
// parts of the response are delivered. A reservation is granted completely or not at all, so
// the bytes held never exceed the limit. The last part of the budget is kept for small
// reservations, so that requests with small responses are served while large responses
// fill the rest.
//
// The pacer spreads large responses over the time in which the link can carry them. Small
// responses are counted and never wait, so they don't queue behind large ones.
//
// The package is pure: it has no clock and no lock. Sizes are bytes, times are the
// instance's uptime.
package bytebudget
