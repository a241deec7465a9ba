// Package configurer reads the settings of a node from YAML. It decides which
// values are in range and reports everything that is wrong with a file in one
// pass. It owns no state, and it reads neither files nor the environment.
package configurer
