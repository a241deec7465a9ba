// Package meter measures the resource use of real node processes: processor
// time, memory and bytes as functions of a size, with a least squares line through
// the points. It decides which sizes are measured and how the line is fitted. It
// owns the processes, the platform and the backend server of one testbed at a time
// and keeps no results between runs.
package meter
