// Command primroseloomd is wired in main.
package main

func main() {}
