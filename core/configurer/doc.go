// Package configurer parses the settings of a node from YAML. It checks that
// values are in range and reports all faults of a file in one pass. It holds no
// state and reads neither files nor the environment.
package configurer
