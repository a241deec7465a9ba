// Package rationer decides how much of its rate limit an organisation may use where. It
// owns the tokens that a home has not given out yet and those that an entry node holds.
// It never sends anything and never decides on a single request's importance.
package rationer
