package dispatch

import "citronslip/pkg/inventory"

const (
	// PrefixBlock is the number of prompt tokens for each prefix hash; Picker.Block has to be the same.
	PrefixBlock = 1024

	// Parameters of the 64-bit FNV-1a hash.
	hashOffset = 14695981039346656037
	hashPrime  = 1099511628211
)

type (
	// Prompt is the size and the make-up of a model request.
	Prompt struct {
		Model  string
		Tokens int64 // Prompt tokens.
		Most   int64 // Most output tokens.
		Parts  []Part
	}

	// Part is a part of a prompt; requests that begin with the same parts share them in an engine's cache.
	Part struct {
		ID     uint64
		Tokens int64
	}
)

// Size returns the most tokens that the request can consume.
func (p *Prompt) Size() inventory.Tokens { return inventory.Tokens(p.Tokens + p.Most) }

// prefix returns the cumulative hashes of the prompt's blocks. Parts are hashed once for each block that they fill, so
// that two prompts share as many hashes as they share blocks.
func (p *Prompt) prefix() []uint64 {
	var result []uint64
	hash := uint64(hashOffset)
	tokens := int64(0)
	for i, part := range p.Parts {
		if i == len(p.Parts)-1 {
			break // The last part belongs to this request alone.
		}
		hash = (hash ^ part.ID) * hashPrime
		tokens += part.Tokens
		for int64(len(result)) < (tokens+PrefixBlock/2)/PrefixBlock {
			hash = (hash ^ uint64(len(result))) * hashPrime
			result = append(result, hash)
		}
	}
	return result
}
