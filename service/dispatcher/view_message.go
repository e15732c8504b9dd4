package dispatcher

import "azuredyke.dev/azuredyke/decision/admission"

// viewMessage asks for the state of a cell.
type viewMessage struct {
	reply chan<- admission.View
}

func (m viewMessage) apply(c *Cell) { m.reply <- c.decisions.View() }
