// Package connector defines what a node asks of the platform that it runs on:
// where requests come in, how the backend server next door is spoken to, and
// where configuration and members come from. It holds types and interfaces
// only, and decides nothing.
package connector
