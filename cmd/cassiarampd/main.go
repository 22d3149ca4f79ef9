// Command cassiarampd is the daemon: an entry or a side process, as its
// settings say.
package main

func main() {}
