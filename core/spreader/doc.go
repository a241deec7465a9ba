// Package spreader decides how updates travel between nodes: which control
// peers a node keeps, which of them get an update, whether an update was seen
// before, and with which peer digests are compared next. It owns the set of
// control peers and a bounded set of seen stamps. It sends nothing and holds no
// release or instance.
package spreader
