package dispatcher

import "azuredyke.dev/azuredyke/decision/admission"

// viewMessage requests the state of a cell. The reply channel needs a buffer of one.
type viewMessage struct {
	reply chan<- admission.View
}

func (m viewMessage) apply(c *Cell) { m.reply <- c.admission.View() }
