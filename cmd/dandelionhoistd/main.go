// Command dandelionhoistd is under construction.
package main

func main() {}
