package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/coder/websocket"
)

const (
	nonceSize = 32
	// protocolVersion is part of what both sides authenticate.
	protocolVersion = 1
	// maxNodeIDLength is the maximum length of a node id in bytes.
	maxNodeIDLength = 256
	// maxHandshakeFrame is the maximum size of a frame in bytes before the other side is authenticated.
	maxHandshakeFrame = 1024
)

// Roles in the handshake. Each proof covers the role of its author, so that a proof cannot be reflected to its author.
const (
	roleDialler  = "dialler"
	roleAcceptor = "acceptor"
)

// handshakeFrame is one of the three frames of the handshake: the dialler's nonce, the acceptor's nonce and proof, and the
// dialler's proof.
type handshakeFrame struct {
	Version int    `cbor:"1,keyasint,omitempty"`
	Node    string `cbor:"2,keyasint,omitempty"`
	Nonce   []byte `cbor:"3,keyasint,omitempty"`
	Proof   []byte `cbor:"4,keyasint,omitempty"`
}

// handshake is one authentication in progress.
type handshake struct {
	conn              *websocket.Conn
	secret            []byte
	dialler, acceptor handshakeFrame
}

// dial authenticates as the side that opened the connection and returns the node id of the other side.
func (h *handshake) dial(ctx context.Context, nodeID string) (string, error) {
	h.dialler = newHandshakeFrame(nodeID)
	if err := h.send(ctx, h.dialler); err != nil {
		return "", err
	}
	if err := h.receive(ctx, &h.acceptor); err != nil {
		return "", err
	}
	if !h.verify(roleAcceptor, h.acceptor) {
		return "", Error.New("the other node did not prove possession of the shared secret")
	}
	return h.acceptor.Node, h.send(ctx, handshakeFrame{Proof: h.computeProof(roleDialler)})
}

// accept authenticates as the side that accepted the connection and returns the node id of the other side.
func (h *handshake) accept(ctx context.Context, nodeID string) (string, error) {
	if err := h.receive(ctx, &h.dialler); err != nil {
		return "", err
	}
	if h.dialler.Version != protocolVersion || len(h.dialler.Nonce) != nonceSize || len(h.dialler.Node) > maxNodeIDLength {
		return "", Error.New("the first handshake frame is invalid or has another protocol version")
	}
	h.acceptor = newHandshakeFrame(nodeID)
	h.acceptor.Proof = h.computeProof(roleAcceptor)
	if err := h.send(ctx, h.acceptor); err != nil {
		return "", err
	}
	var last handshakeFrame
	if err := h.receive(ctx, &last); err != nil {
		return "", err
	}
	last.Version, last.Nonce = h.dialler.Version, h.dialler.Nonce
	if !h.verify(roleDialler, last) {
		return "", Error.New("the other node did not prove possession of the shared secret")
	}
	return h.dialler.Node, nil
}

// verify checks the proof in constant time.
func (h *handshake) verify(role string, f handshakeFrame) bool {
	return f.Version == protocolVersion && len(f.Nonce) == nonceSize && len(f.Node) <= maxNodeIDLength &&
		hmac.Equal(f.Proof, h.computeProof(role))
}

// computeProof returns the HMAC-SHA-256 of the protocol version, the role, both nonces and both node ids. The nonces have a
// fixed length and zero bytes end the role and the first id, so that two different inputs are never encoded alike.
func (h *handshake) computeProof(role string) []byte {
	mac := hmac.New(sha256.New, h.secret)
	for _, part := range [][]byte{
		{protocolVersion},
		[]byte(role),
		{0},
		h.dialler.Nonce, h.acceptor.Nonce, []byte(h.dialler.Node),
		{0},
		[]byte(h.acceptor.Node),
	} {
		mac.Write(part)
	}
	return mac.Sum(nil)
}

func newHandshakeFrame(nodeID string) handshakeFrame {
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce)
	return handshakeFrame{Version: protocolVersion, Node: nodeID, Nonce: nonce}
}

func (h *handshake) send(ctx context.Context, f handshakeFrame) error {
	data, err := encMode.Marshal(f)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(h.conn.Write(ctx, websocket.MessageBinary, data))
}

func (h *handshake) receive(ctx context.Context, f *handshakeFrame) error {
	_, data, err := h.conn.Read(ctx)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(decMode.Unmarshal(data, f))
}
