// Package meter measures what real node processes cost: processor time, memory
// and bytes as functions of a size, and the straight line through them. It
// decides which sizes are measured and how the line is fitted. It owns the
// processes, the platform and the backend server of one rig at a time and never
// keeps figures between runs.
package meter
