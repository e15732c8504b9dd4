package operator

import "context"

// actor is the authenticated operator of a call.
type actor struct {
	name string
	role string
}

// actorKey is the context key for the actor of a call.
type actorKey struct{}

func withActor(ctx context.Context, a actor) context.Context {
	return context.WithValue(ctx, actorKey{}, a)
}

func actorOf(ctx context.Context) actor {
	a, _ := ctx.Value(actorKey{}).(actor)
	return a
}
