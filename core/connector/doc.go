// Package connector defines the interfaces between a node and the platform that
// it runs on: how requests arrive, how the local backend server is called, and
// where configuration and members are read from. It contains only types and
// interfaces, and makes no decisions.
package connector
