// Package catcher catches SIGHUP before the rest of the program is initialised.
//
// It imports nothing but what catching needs: a package is initialised after its
// imports, and the long initialisation of the libraries comes later.
package catcher
