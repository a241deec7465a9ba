// Package encoder holds the messages that nodes exchange and their framing.
// Messages are generated from messages.proto; each is preceded by its length
// as a varint (protodelim).
package encoder
