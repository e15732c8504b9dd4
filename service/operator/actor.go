package operator

import "context"

// actor is the operator who makes a call.
type actor struct {
	name string
	role string
}

// actorKey is the context key of the actor.
type actorKey struct{}

func withActor(ctx context.Context, a actor) context.Context {
	return context.WithValue(ctx, actorKey{}, a)
}

func actorOf(ctx context.Context) actor {
	a, _ := ctx.Value(actorKey{}).(actor)
	return a
}
