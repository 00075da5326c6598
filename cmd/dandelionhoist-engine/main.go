// Command dandelionhoist-engine is under construction.
package main

func main() {}
