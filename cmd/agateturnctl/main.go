// Command agateturnctl is the operators' command-line tool.
package main

func main() {}
