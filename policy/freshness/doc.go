// Package freshness decides whether a VM can show that its routes are current enough to
// serve requests with customers' keys.
//
// A confirmation says that no version newer than the stated one was published at a moment.
// The moment of a confirmation by the store is when the call was sent, and that of a
// confirmation by a peer is when the call was sent less the age that the peer states, so
// that delays only make a confirmation older. All times are uptimes of this VM, on a clock
// that counts suspension. A VM is current while its latest confirmation is younger than the
// bound: a key that a newer version no longer holds is then served for at most the bound
// after that version was published.
//
// Confirmations never move back. One for a version older than the one in force is void, and
// one for a newer version counts once that version is in force. While a version is known to
// exist that this VM does not have, its own version cannot be confirmed.
//
// A store that was restored from a copy may have lost versions, and a VM that starts cannot
// tell whether it was. The store's word is therefore kept, but does not count, from the start
// and from each restoration until the VM has compared its version with those of a few peers.
// Confirmations by peers count meanwhile.
package freshness
