// Command dandelionhoist is under construction.
package main

func main() {}
