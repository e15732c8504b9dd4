package admission

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"azuredyke.dev/azuredyke/common/message"
)

// drawRunning draws an endpoint with running requests and the index of one of them.
func (m *model) drawRunning(t *rapid.T) (*modelEndpoint, int) {
	e := rapid.SampledFrom(m.endpoints).Draw(t, "endpoint")
	if len(e.running) == 0 {
		t.Skip("nothing runs")
	}
	return e, rapid.IntRange(0, len(e.running)-1).Draw(t, "request")
}

// actions returns the actions of the state machine. Actions of normal operation occur several times, so that they are
// drawn more often than faults.
func (m *model) actions() map[string]func(*rapid.T) {
	actions := m.faultActions()
	for name, action := range m.workActions() {
		for i := range 4 {
			actions[fmt.Sprint(name, " ", i)] = action
		}
	}
	return actions
}

// workActions returns the actions of normal operation.
func (m *model) workActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"place": func(t *rapid.T) {
			o := m.owner()
			if rapid.IntRange(0, 9).Draw(t, "old owner") == 0 {
				o = rapid.SampledFrom(m.owners).Draw(t, "owner")
			}
			for range rapid.IntRange(1, 5).Draw(t, "requests") {
				m.ticket++
				o.cell.Enqueue(m.now, WaitingRequest{Ticket: m.ticket, Deadline: m.now.Add(10 * time.Second)})
			}
			m.dispatch(o)
		},
		"dispatch": func(*rapid.T) {
			for _, o := range m.owners {
				m.dispatch(o)
			}
		},
		"start": func(t *rapid.T) {
			n := rapid.IntRange(0, len(m.grants)).Draw(t, "grants")
			starting := m.grants[:n]
			m.grants = m.grants[n:]
			for _, g := range starting {
				m.startRequest(g)
			}
		},
		"fresh load reports": func(*rapid.T) {
			for _, e := range m.endpoints {
				m.deliverLoad(m.loadReport(e))
			}
		},
		"progress": func(t *rapid.T) {
			e, i := m.drawRunning(t)
			if r := e.running[i]; !r.unreported {
				r.tokens += 5
				m.sendReport(r, message.GrantProgress)
			}
		},
		"finish": func(t *rapid.T) {
			e, i := m.drawRunning(t)
			m.finishRequest(e, i)
		},
		"finish all": func(*rapid.T) {
			for _, e := range m.endpoints {
				for len(e.running) > 0 {
					m.finishRequest(e, 0)
				}
			}
		},
		"lease confirmed":  func(*rapid.T) { m.confirmed = true },
		"data centre back": func(*rapid.T) { m.setDataCentreOut(false) },
		"advance": func(t *rapid.T) {
			m.advance(time.Duration(rapid.SampledFrom([]int{1, 200, 1000}).Draw(t, "ms")) * time.Millisecond)
		},
	}
}

// faultActions returns the actions that inject faults.
func (m *model) faultActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"lose reply": func(t *rapid.T) {
			if len(m.grants) == 0 {
				t.Skip("no grants")
			}
			m.grants = m.grants[1:]
		},
		"stall": func(t *rapid.T) {
			e, i := m.drawRunning(t)
			if r := e.running[i]; !r.unreported {
				m.sendReport(r, message.GrantStalled)
			}
		},
		"break connection": func(t *rapid.T) {
			e, i := m.drawRunning(t)
			if r := e.running[i]; !r.unreported {
				r.unreported = true
				m.sendReport(r, message.GrantFailed)
			}
		},
		"gateway dies": func(t *rapid.T) {
			e, i := m.drawRunning(t)
			e.running[i].unreported = true
		},
		"restart endpoint": func(t *rapid.T) {
			e := rapid.SampledFrom(m.endpoints).Draw(t, "endpoint")
			for _, r := range e.running {
				if !r.unreported {
					m.sendReport(r, message.GrantFailed)
				}
			}
			e.running, e.completed, e.uncredited = nil, 0, 0
			e.incarnation++
			m.markOutdated(e)
		},
		"take load report": func(t *rapid.T) {
			m.loadReports = append(m.loadReports, m.loadReport(rapid.SampledFrom(m.endpoints).Draw(t, "endpoint")))
		},
		"deliver load report": func(t *rapid.T) {
			if len(m.loadReports) == 0 {
				t.Skip("no reports")
			}
			for _, l := range m.loadReports {
				m.deliverLoad(l)
			}
			m.loadReports = nil
		},
		"load reports fail": func(t *rapid.T) {
			e := rapid.SampledFrom(m.endpoints).Draw(t, "endpoint")
			for range defaultLoadFailures {
				m.owner().cell.RecordLoadFailure(m.now, e.id)
			}
		},
		"long wait": func(t *rapid.T) {
			m.advance(time.Duration(rapid.SampledFrom([]int{2, 5, 15}).Draw(t, "s")) * time.Second)
		},
		"take over": func(t *rapid.T) {
			if len(m.owners) == 3 || rapid.IntRange(0, 4).Draw(t, "chance") > 0 {
				t.Skip("no takeover")
			}
			m.takeOver()
		},
		"lease in doubt":  func(*rapid.T) { m.confirmed = false },
		"data centre out": func(*rapid.T) { m.setDataCentreOut(true) },
	}
}
