// Package credentials finds the workspace that an API key belongs to.
//
// It does no I/O except reading random bytes. A Directory is immutable and safe for concurrent use. No function logs a key or
// puts it in an error.
package credentials

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"sync"

	"github.com/agateturn/agateturn/queue"
)

// digest is the keyed hash of an API key.
type digest [sha256.Size]byte

// secret keys the hashes. It is drawn once per process, so that callers cannot compute the hash of a key, and a dump of a
// directory does not allow keys to be guessed offline without it.
var secret = sync.OnceValue(func() []byte {
	key := make([]byte, sha256.Size)
	_, _ = rand.Read(key) // never fails: it terminates the process instead
	return key
})

type entry struct {
	digest    digest
	workspace string
}

// Directory holds the hashes of the API keys of a list of workspaces.
type Directory struct {
	// buckets is keyed by the first bytes of the digest, which say nothing about the key to someone without the secret.
	buckets map[uint64][]entry
}

// NewDirectory returns the directory of the workspaces' keys. A key that several workspaces have belongs to the first of
// them. Empty keys, and the keys of workspaces without a name, are not in the directory: an empty name stands for no workspace.
func NewDirectory(workspaces []queue.Workspace) *Directory {
	d := &Directory{buckets: map[uint64][]entry{}}
	for i := range workspaces {
		w := &workspaces[i]
		for _, key := range w.Keys {
			if w.Name == "" || key == "" {
				continue
			}
			hash := hashOf(key)
			if _, taken := d.find(hash); taken {
				continue
			}
			bucket := hash.bucket()
			d.buckets[bucket] = append(d.buckets[bucket], entry{digest: hash, workspace: w.Name})
		}
	}
	return d
}

// Find returns the workspace that the key belongs to, and false if no workspace has it.
func (d *Directory) Find(key string) (workspace string, ok bool) { return d.find(hashOf(key)) }

func (d *Directory) find(hash digest) (workspace string, ok bool) {
	for _, e := range d.buckets[hash.bucket()] {
		if subtle.ConstantTimeCompare(e.digest[:], hash[:]) == 1 {
			return e.workspace, true
		}
	}
	return "", false
}

func hashOf(key string) digest {
	mac := hmac.New(sha256.New, secret())
	_, _ = mac.Write([]byte(key)) // never fails
	return digest(mac.Sum(nil))
}

func (d *digest) bucket() uint64 { return binary.BigEndian.Uint64(d[:]) }
