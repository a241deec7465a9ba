// Package misbehaver holds clients that keep within the limits of a single request, or
// not even those, and cost a server as much as they can: they hold back the ends of
// bodies, send very many header fields, read nothing, or stop half-way. Each kind is
// bounded in connections and in time.
package misbehaver
