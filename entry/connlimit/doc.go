// Package connlimit bounds the open connections of the listeners of a process.
//
// All listeners of a process share its descriptors. Each has a part of them, so that a crowd of callers at
// one listener leaves the others theirs. A listener whose connections are used up makes room for a new one
// by closing the connection that has done least for the longest; where nothing can be closed, the new one
// is closed at once.
package connlimit
