// Package spreader decides how updates spread between nodes by gossip and
// anti-entropy: which control peers a node keeps, which of them an update is
// forwarded to, whether an update was seen before, and with which peer digests
// are compared next. It holds the set of control peers and a bounded set of
// seen stamps. It sends nothing and stores no releases or instances.
package spreader
