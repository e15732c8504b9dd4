package operator

import (
	"context"
	"crypto/subtle"
	"strings"

	"connectrpc.com/connect"

	"azuredyke.dev/azuredyke/common/keyhash"
	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/gen/azuredyke/operator/v1/operatorv1connect"
)

// changingProcedures holds the procedures that require the role operator. All other procedures accept every role.
var changingProcedures = map[string]bool{
	operatorv1connect.OperatorServicePutObjectProcedure:          true,
	operatorv1connect.OperatorServiceDeleteObjectProcedure:       true,
	operatorv1connect.OperatorServiceSetDataCentreStateProcedure: true,
}

// newAuthenticator returns an interceptor that refuses calls without a known token or without the required role. It calls
// recordRefusal for each change that is refused because of the role.
func newAuthenticator(tokens []settings.OperatorToken, recordRefusal func(actor, connect.AnyRequest)) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			a, ok := authenticate(tokens, req.Header().Get("Authorization"))
			if !ok {
				return nil, connect.NewError(connect.CodeUnauthenticated, errMissingToken)
			}
			if changingProcedures[req.Spec().Procedure] && a.role != settings.RoleOperator {
				recordRefusal(a, req)
				return nil, connect.NewError(connect.CodePermissionDenied, errViewerOnly)
			}
			return next(withActor(ctx, a), req)
		}
	}
}

// authenticate returns the actor of a bearer token. It compares the hash of the token with every known hash, so that the
// duration does not reveal which hash matched.
func authenticate(tokens []settings.OperatorToken, header string) (actor, bool) {
	token, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return actor{}, false
	}
	hash := []byte(keyhash.Of(token))
	var found actor
	matched := false
	for _, t := range tokens {
		if subtle.ConstantTimeCompare(hash, []byte(strings.ToLower(t.Hash))) == 1 {
			found, matched = actor{name: t.Name, role: t.Role}, true
		}
	}
	return found, matched
}
