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
	// maxNodeID is the longest node id in bytes.
	maxNodeID = 256
	// maxHandshakeFrame bounds the frames of a side that is not authenticated yet.
	maxHandshakeFrame = 1024
)

// Roles in the handshake. Each side proves its own role, so that a proof cannot be sent back to its author.
const (
	roleDialler  = "dialler"
	roleAcceptor = "acceptor"
)

// handshakeFrame is sent three times: the dialler's nonce, the acceptor's nonce and proof, the dialler's proof.
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
func (h *handshake) dial(ctx context.Context, node string) (string, error) {
	h.dialler = newHandshakeFrame(node)
	if err := h.send(ctx, h.dialler); err != nil {
		return "", err
	}
	if err := h.receive(ctx, &h.acceptor); err != nil {
		return "", err
	}
	if !h.verify(roleAcceptor, h.acceptor) {
		return "", Error.New("the other node does not know the shared secret")
	}
	return h.acceptor.Node, h.send(ctx, handshakeFrame{Proof: h.proof(roleDialler)})
}

// accept authenticates as the side that accepted the connection and returns the node id of the other side.
func (h *handshake) accept(ctx context.Context, node string) (string, error) {
	if err := h.receive(ctx, &h.dialler); err != nil {
		return "", err
	}
	if h.dialler.Version != protocolVersion || len(h.dialler.Nonce) != nonceSize || len(h.dialler.Node) > maxNodeID {
		return "", Error.New("first frame of another protocol")
	}
	h.acceptor = newHandshakeFrame(node)
	h.acceptor.Proof = h.proof(roleAcceptor)
	if err := h.send(ctx, h.acceptor); err != nil {
		return "", err
	}
	var last handshakeFrame
	if err := h.receive(ctx, &last); err != nil {
		return "", err
	}
	last.Version, last.Nonce = h.dialler.Version, h.dialler.Nonce
	if !h.verify(roleDialler, last) {
		return "", Error.New("the other node does not know the shared secret")
	}
	return h.dialler.Node, nil
}

// verify checks the proof in constant time.
func (h *handshake) verify(role string, f handshakeFrame) bool {
	return f.Version == protocolVersion && len(f.Nonce) == nonceSize && len(f.Node) <= maxNodeID &&
		hmac.Equal(f.Proof, h.proof(role))
}

// proof is the HMAC-SHA-256 of the role, both nonces and both node ids. The nonces have a fixed length and a zero byte
// separates the ids, so that no two inputs collide.
func (h *handshake) proof(role string) []byte {
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

func newHandshakeFrame(node string) handshakeFrame {
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce)
	return handshakeFrame{Version: protocolVersion, Node: node, Nonce: nonce}
}

func (h *handshake) send(ctx context.Context, f handshakeFrame) error {
	data, err := encoding.Marshal(f)
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
	return Error.Wrap(decoding.Unmarshal(data, f))
}
