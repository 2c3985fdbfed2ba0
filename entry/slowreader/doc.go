// Package slowreader ends connections whose peer reads nothing.
//
// The write deadline of a connection of this package is a time without progress: while a
// write is in progress, the deadline is renewed whenever the peer has taken a part of it, by
// the time that was left when the deadline was set. A peer that reads slowly, but reads, is
// served to the end; one that reads nothing for that time ends with os.ErrDeadlineExceeded.
// A connection without a write deadline is left alone.
package slowreader
