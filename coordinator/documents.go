package coordinator

import (
	"github.com/carawayrack/carawayrack/catalog"
)

// maxDocuments is the number of former documents from which deltas are made.
const maxDocuments = 16

// document is a configuration document, packed by catalog.Compress, that came
// into force with the change of a sequence.
type document struct {
	sequence, version uint64
	packed            []byte
}

// documentHistory holds the last documents in force, the oldest first, and the
// deltas that were made of them.
type documentHistory struct {
	documents []document
	// deltas holds encoded changes to the last document by the version that they
	// start from.
	deltas map[uint64][]byte
}

func (h *documentHistory) add(d document) {
	h.documents = append(h.documents, d)
	if k := len(h.documents); k > maxDocuments {
		h.documents = h.documents[k-maxDocuments:]
	}
	h.deltas = map[uint64][]byte{}
}

// change returns the change x, by which the last document came into force, for a
// host whose state is at a sequence: with a delta if the host's document is known
// and the delta is smaller, otherwise as it is.
func (h *documentHistory) change(x appliedChange, sequence uint64) []byte {
	old, ok := h.heldAt(sequence)
	if !ok {
		return x.Data
	}
	if b := h.deltas[old.version]; b != nil {
		return b
	}
	b, err := deltaChange(x, old)
	if err != nil || len(b) > len(x.Data) {
		b = x.Data
	}
	h.deltas[old.version] = b
	return b
}

// heldAt returns the document in force at a sequence.
func (h *documentHistory) heldAt(sequence uint64) (document, bool) {
	for i := len(h.documents) - 1; i >= 0; i-- {
		if h.documents[i].sequence <= sequence {
			return h.documents[i], true
		}
	}
	return document{}, false
}

// deltaChange returns the encoded change x with a delta from an old document in
// place of its own.
func deltaChange(x appliedChange, old document) ([]byte, error) {
	c, err := catalog.DecodeChange(x.Data)
	if err != nil {
		return nil, err
	}
	from, err := catalog.Decompress(old.packed)
	if err != nil {
		return nil, err
	}
	to, err := catalog.Decompress(c.Document)
	if err != nil {
		return nil, err
	}
	if c.Delta, err = catalog.Compress(catalog.MakeDelta(from, to)); err != nil {
		return nil, err
	}
	c.Document, c.Base = nil, old.version
	return c.Encode()
}

// withoutDocument returns the encoded change without its document.
func withoutDocument(c catalog.Change) []byte {
	c.Document, c.Version = nil, 0
	// A change is encoded without an error: it was decoded from JSON.
	b, _ := c.Encode()
	return b
}

// lastDocument returns the index of the last change by which a document came into
// force, -1 if there is none.
func lastDocument(l []appliedChange) int {
	for i := len(l) - 1; i >= 0; i-- {
		if l[i].InForce {
			return i
		}
	}
	return -1
}
