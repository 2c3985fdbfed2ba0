// Command primroseloom is wired in main.
package main

func main() {}
