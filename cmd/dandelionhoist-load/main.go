// Command dandelionhoist-load is under construction.
package main

func main() {}
