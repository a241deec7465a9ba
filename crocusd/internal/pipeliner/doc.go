// Package pipeliner serves HTTP/1.1 connections on which clients may send requests
// ahead. It decides which requests begin before the earlier ones are answered, writes
// the answers in the order of the requests, and bounds what a connection, and all
// connections together, may use. It owns the connections and knows nothing of what a
// request asks for.
package pipeliner
