// Package resolver decides what may be concluded about a try and whether
// another try is allowed. It owns no state beyond the try that it is given and
// never turns a doubt into "not run".
package resolver
