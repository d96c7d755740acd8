// Command bluebellbench is not wired yet.
package main

func main() {}
