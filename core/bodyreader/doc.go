// Package bodyreader reads request bodies into memory. It owns the budget that
// all bodies of a node share, and acquires it as bytes arrive, not as a header states
// them. It never decides how a refused request is answered.
package bodyreader
