// Package detector scratch.
package detector

import "time"

type Pause struct{}

func NewPause(threshold time.Duration) *Pause       { return &Pause{} }
func (p *Pause) Tick(now time.Duration)             {}
func (p *Pause) Suspect(now time.Duration) bool     { return false }
