// Command bluebellfake is not wired yet.
package main

func main() {}
