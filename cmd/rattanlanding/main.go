// Command rattanlanding runs one node of the serving system.
package main

func main() {}
