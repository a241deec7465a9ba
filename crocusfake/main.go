// Command crocusfake is under construction.
package main

func main() {}
