// Command crocusd is under construction.
package main

func main() {}
