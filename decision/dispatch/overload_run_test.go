package dispatch

import "azuredyke.dev/azuredyke/decision/overload"

// overloadClass is a class of requests in a simulation. Times are in milliseconds.
type overloadClass struct {
	name string
	// workspace is that of all requests of the class; empty for all workspaces.
	workspace                  string
	perSecond                  float64
	prompt, output, priority   int
	objective, deadline, leave int
	// migrates is set for runs that must not start again.
	migrates bool
}

// overloadRun is a request and its run.
type overloadRun struct {
	class     *overloadClass
	workspace string
	node      int
	arrived   int
	held      *HeldRequest
	// waitUntil is the end of the wait at a node without ordered admission.
	waitUntil int
	number    uint64
	engine    *overloadEngine
	// prefill is the number of prompt tokens to compute, context the memory, output the number of tokens to come.
	prefill, context, output int
	firstEvent, lastEvent    int
	longGap, ended           bool
	// target is the placement at the destination of a migration, refused the engines without memory for it.
	target   uint64
	copyEnd  int
	refused  []string
	nextMove int
}

// overloadResult counts the answers of a class.
type overloadResult struct {
	requests, inTime, late, failed, cut int
	// others counts the requests of other workspaces than w0, othersInTime their answers in time.
	others, othersInTime int
}

// request returns the request as a node places it.
func (r *overloadRun) request() Request {
	return Request{
		Service: "s", PromptTokens: r.class.prompt, Tokens: r.class.prompt + r.class.output*6/10, Priority: r.class.priority,
		Workspace: r.workspace, FirstEventBy: at(r.arrived + r.class.objective),
	}
}

// hold returns the request as it waits at a node with ordered admission.
func (r *overloadRun) hold() *HeldRequest {
	h := &HeldRequest{Request: r.request(), WaitUntil: at(r.waitUntil)}
	h.Workspace, h.Priority, h.Arrived, h.FirstEventBy = r.workspace, r.class.priority, at(r.arrived), h.Request.FirstEventBy
	h.Deadline, h.RunTime = at(r.arrived+r.class.deadline), milliseconds(r.class.output*15)
	h.HoldUntil = overload.HoldUntil(h.Arrived, h.Deadline, milliseconds(r.class.objective), milliseconds(180), h.RunTime)
	return h
}
