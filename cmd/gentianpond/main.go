// Command gentianpond is a query tier between callers and backend servers.
package main

func main() {}
