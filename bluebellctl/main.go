// Command bluebellctl is not wired yet.
package main

func main() {}
