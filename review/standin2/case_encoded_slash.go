package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// runEncodedSlash asks for lookups, a part of whose ids holds an encoded slash. The paths then begin with the shorter prefix only. Rule
// ROUTE: a request is run by a service to which no configuration allows it to go.
func runEncodedSlash(ctx context.Context, s *site) (bool, error) {
	for i, service := range []string{desk, desk, notes, notes} {
		w := &worker{id: fmt.Sprintf("i-40f425e%d", i+1), service: service, zone: "andino-a", slots: 6, work: 30 * time.Millisecond}
		if err := s.addWorker(w); err != nil {
			return false, err
		}
	}
	s.configure(7, route("consulta", "/puxa403/", "idempotent", desk, nil), route("notas", "/puxa403/notas/", "idempotent", notes, nil))
	for _, zone := range []string{"andino-a", "andino-b"} {
		if err := s.addNode("edge-"+zone+"-1", zone); err != nil {
			return false, err
		}
	}
	if err := s.startNodes(ctx); err != nil {
		return false, err
	}
	id := "notas%2F7"
	if !s.trouble {
		id = "notas-7"
	}
	served := 0
	for i := range 20 {
		for _, target := range []string{"/puxa403/" + id, "/puxa403/notas/7"} {
			if a := s.send(ctx, s.nodes[i%2], http.MethodGet, target, s.newID(), 2500*time.Millisecond); a.status == http.StatusOK {
				served++
			}
		}
	}
	if served == 0 {
		return false, errors.New("no request was served")
	}
	broken := false
	_, arrivals := s.fleet.snapshot()
	for _, a := range arrivals {
		if service := s.serviceOf(a.worker); a.path == "/puxa403/"+id && service != desk {
			broken = true
			s.record.log("ROUTE: %s %s was run by worker %s of %s; the longest prefix that begins the path is that of %s", a.request, a.path, a.worker, service, desk)
		}
	}
	return broken, nil
}

// serviceOf returns the service of a worker.
func (s *site) serviceOf(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.workers {
		if w.id == id {
			return w.service
		}
	}
	return ""
}
