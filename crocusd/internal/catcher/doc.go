// Package catcher catches SIGHUP before the rest of the program is initialised.
//
// It imports only what it needs for that. A package is initialised after its
// imports, so this package is initialised before the libraries whose
// initialisation takes long.
package catcher
