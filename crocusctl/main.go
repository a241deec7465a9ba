// Command crocusctl is under construction.
package main

func main() {}
