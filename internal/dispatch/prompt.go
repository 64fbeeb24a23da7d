package dispatch

import (
	"strconv"

	"citronslip/pkg/inventory"
)

const (
	// PrefixBlockTokens is the number of prompt tokens for each prefix hash. The field Block of routing.Picker must be
	// the same.
	PrefixBlockTokens = 1024
	// maxPrefixHashes is the maximum number of hashes of a prompt. A caller may claim any number of tokens for a part; a million
	// tokens are more than the context of a model.
	maxPrefixHashes = 1024

	// Parameters of the 64-bit FNV-1a hash.
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

type (
	// Prompt describes the size and the parts of the prompt of a model request.
	Prompt struct {
		Model  string
		Tokens int64 // Prompt tokens.
		Most   int64 // Maximum number of output tokens.
		Parts  []PromptPart
	}

	// PromptPart is a part of a prompt. Requests that start with the same parts share them in the prefix cache of an
	// engine.
	PromptPart struct {
		ID     uint64
		Tokens int64
	}
)

// MaxTokens returns the maximum number of tokens that the request can consume.
func (p *Prompt) MaxTokens() inventory.Tokens { return inventory.Tokens(p.Tokens + p.Most) }

// sharedParts returns the IDs of the parts that other requests may have too: all but the last, which is unique to the
// request or its session. A nil prompt has none.
func (p *Prompt) sharedParts() []string {
	if p == nil || len(p.Parts) == 0 {
		return nil
	}
	ids := make([]string, 0, len(p.Parts)-1)
	for _, part := range p.Parts[:len(p.Parts)-1] {
		ids = append(ids, strconv.FormatUint(part.ID, hexadecimal))
	}
	return ids
}

// prefixHashes returns the cumulative hashes of the prompt's blocks. A part is hashed once for each block that it
// fills, so that two prompts share as many hashes as blocks. Blocks beyond maxPrefixHashes have none.
func (p *Prompt) prefixHashes() []uint64 {
	var hashes []uint64
	hash := uint64(fnvOffset)
	tokens := int64(0)
	for i, part := range p.Parts {
		if i == len(p.Parts)-1 {
			break // The last part is unique to this request.
		}
		hash = (hash ^ part.ID) * fnvPrime
		tokens += part.Tokens
		blocks := min((tokens+PrefixBlockTokens/2)/PrefixBlockTokens, maxPrefixHashes)
		for int64(len(hashes)) < blocks {
			hash = (hash ^ uint64(len(hashes))) * fnvPrime
			hashes = append(hashes, hash)
		}
	}
	return hashes
}
