// Command bluebelld is not wired yet.
package main

func main() {}
