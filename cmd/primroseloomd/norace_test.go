//go:build !race

package main

// raceDetector is true when the race detector is on, which multiplies a process's memory.
const raceDetector = false
