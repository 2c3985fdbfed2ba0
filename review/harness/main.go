// Command harness plays the scripts of the review: each case starts the programs of the deploy
// file as separate processes on loopback addresses, with stand-ins of the store, of upstreams and
// of requesters, and judges what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	cantRun = 2
)

// play plays a case with or without its disruption and reports whether the rule held.
type play func(d *deployment, trouble bool) (verdict int, err error)

func main() {
	cases := map[string]play{"upload": playUpload, "routes": playRoutes, "smuggled": playSmuggled, "encoded": playEncoded, "early": playEarly, "row": playRow, "linger": playLinger, "grey": playGrey, "odd": playOdd}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER, in the root of the repository")
		os.Exit(cantRun)
	}
	os.Exit(playCase(cases[os.Args[1]], os.Args[2]))
}

// playCase plays a case that records into a folder.
func playCase(one play, folder string) int {
	r, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	d, err := newDeployment(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	defer d.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		d.close()
		os.Exit(cantRun)
	}()
	verdict, err := one(d, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.note("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	text := map[int]string{held: "the rule held", broken: "the rule was broken"}[verdict]
	r.note("%s", text)
	fmt.Println(text)
	return verdict
}
