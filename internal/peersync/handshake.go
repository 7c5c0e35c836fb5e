package peersync

import "fmt"

// clientHandshake is the client's side of the hello and the challenge, which begin every exchange and session.
type clientHandshake struct {
	key         []byte
	clientNonce []byte
	serverNonce []byte // nil before the challenge
}

func newClientHandshake(key []byte) clientHandshake {
	return clientHandshake{key: key, clientNonce: newNonce()}
}

// hello returns the first frame of a connection.
func (h *clientHandshake) hello() []byte {
	return encodeFrame(message{Kind: kindHello, Nonce: h.clientNonce, KeyName: keyName(h.key)})
}

// handle processes a challenge or a rejection, and reports whether the message was one of them. After a challenge, the
// caller must send the client's next message. A rejection or an invalid proof is returned as an error.
func (h *clientHandshake) handle(m message) (handled bool, err error) {
	switch {
	case m.Kind == kindRejection:
		return true, m.rejectionError()
	case m.Kind == kindChallenge && h.serverNonce == nil && len(m.Nonce) == nonceSize:
		if !verify(m.Proof, h.key, labelChallenge, h.clientNonce, m.Nonce) {
			return true, fmt.Errorf("challenge: peer's %w", ErrBadProof)
		}
		h.serverNonce = m.Nonce
		return true, nil
	}
	return false, nil
}

// sign returns the client's proof over both nonces and parts.
func (h *clientHandshake) sign(label string, parts ...[]byte) []byte {
	return sign(h.key, label, append([][]byte{h.serverNonce, h.clientNonce}, parts...)...)
}

// verify reports whether a proof of the server over both nonces and parts is valid.
func (h *clientHandshake) verify(proof []byte, label string, parts ...[]byte) bool {
	return verify(proof, h.key, label, append([][]byte{h.clientNonce, h.serverNonce}, parts...)...)
}

// serverHandshake is the server's side of the hello and the challenge.
type serverHandshake struct {
	key         []byte
	serverNonce []byte
	clientNonce []byte // nil before the hello
}

// handle processes a hello and returns the challenge.
func (h *serverHandshake) handle(m message, keys Keys) ([]byte, error) {
	if m.Kind != kindHello || h.clientNonce != nil || len(m.Nonce) != nonceSize {
		return nil, ErrUnexpectedMessage
	}
	key, known := keys.byName(m.KeyName)
	if !known {
		return nil, ErrUnknownKey
	}
	h.key, h.clientNonce = key, m.Nonce
	return encodeFrame(message{Kind: kindChallenge, Nonce: h.serverNonce, Proof: h.sign(labelChallenge)}), nil
}

// sign returns the server's proof over both nonces and parts.
func (h *serverHandshake) sign(label string, parts ...[]byte) []byte {
	return sign(h.key, label, append([][]byte{h.clientNonce, h.serverNonce}, parts...)...)
}

// verify reports whether a proof of the client over both nonces and parts is valid.
func (h *serverHandshake) verify(proof []byte, label string, parts ...[]byte) bool {
	return verify(proof, h.key, label, append([][]byte{h.serverNonce, h.clientNonce}, parts...)...)
}
