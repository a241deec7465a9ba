// Package encoder defines the messages that nodes exchange and their framing.
// The messages are generated from messages.proto. On the wire, each message is
// preceded by its length as a varint (protodelim).
package encoder
