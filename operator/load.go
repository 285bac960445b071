package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"fulmarrun/storage"
	"fulmarrun/wire"
)

// objectPrefix is the prefix of the names of section objects.
const objectPrefix = "config/"

// Digest returns the SHA-256 of data in hexadecimal.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// ObjectName returns the name of the object that holds the section with the
// given digest.
func ObjectName(digest string) string {
	return objectPrefix + digest
}

// Load reads the file that current describes. It returns ErrDigest if a section
// or the whole file does not match its digest.
func Load(ctx context.Context, store *storage.Store, current wire.CurrentConfig) ([]byte, error) {
	return Assemble(current, func(digest string) ([]byte, error) {
		return store.GetObject(ctx, ObjectName(digest))
	})
}

// Assemble joins the sections of the file that current describes. It calls get with
// the digest of each section. It returns ErrDigest if a section or the whole file
// does not match its digest.
func Assemble(current wire.CurrentConfig, get func(digest string) ([]byte, error)) ([]byte, error) {
	sections := make([][]byte, 0, len(current.SectionDigests))
	for _, digest := range current.SectionDigests {
		data, err := get(digest)
		if err != nil {
			return nil, fmt.Errorf("load section %s: %w", digest, err)
		}
		if Digest(data) != digest {
			return nil, fmt.Errorf("load section %s: %w", digest, ErrDigest)
		}
		sections = append(sections, data)
	}
	text := bytes.Join(sections, nil)
	if Digest(text) != current.Digest {
		return nil, fmt.Errorf("load configuration %d: %w", current.Number, ErrDigest)
	}
	return text, nil
}
