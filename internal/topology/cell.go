// Package topology models the accelerator hierarchy of one shard: aligned cells
// inside a worker, racks and the shard. It knows which cells are free and which
// gang occupies the others.
package topology

import (
	"math/bits"

	"github.com/daisyfold/daisyfold/internal/model"
)

// MaxAccelerators bounds the accelerators of one worker that are planned for; it is
// the width of a Mask.
const MaxAccelerators = 64

// Mask is a set of accelerator indices on one worker.
type Mask uint64

// Span returns the mask of n accelerators that starts at index base.
func Span(base, n int) Mask {
	if n >= MaxAccelerators {
		return ^Mask(0)
	}
	return (Mask(1)<<n - 1) << base
}

// Of returns the mask of the given indices.
func Of(indices []int) Mask {
	var m Mask
	for _, i := range indices {
		m |= 1 << i
	}
	return m
}

// Count returns the number of accelerators in m.
func (m Mask) Count() int { return bits.OnesCount64(uint64(m)) }

// Indices returns the indices in m, ascending.
func (m Mask) Indices() []int {
	if m == 0 {
		return nil
	}
	out := make([]int, 0, m.Count())
	for ; m != 0; m &= m - 1 {
		out = append(out, bits.TrailingZeros64(uint64(m)))
	}
	return out
}

// Lowest returns the n lowest accelerators of m.
func (m Mask) Lowest(n int) Mask {
	var out Mask
	for ; n > 0 && m != 0; n-- {
		low := m & -m
		out |= low
		m &^= low
	}
	return out
}

// CellSize returns the size of the smallest aligned cell that holds n accelerators.
func CellSize(n int) int {
	if n <= 1 {
		return 1
	}
	return 1 << bits.Len(uint(n-1))
}

// CellAround returns the aligned cell of the given size that holds all of m, or 0
// when m does not lie in one such cell.
func CellAround(m Mask, size int) Mask {
	if m == 0 {
		return 0
	}
	base := bits.TrailingZeros64(uint64(m)) / size * size
	cell := Span(base, size)
	if m&^cell != 0 {
		return 0
	}
	return cell
}

// BlockSize returns the size of the largest aligned cell inside a worker that holds
// cell and lies in free.
func BlockSize(cell, free Mask) int {
	size := 0
	for s := CellSize(cell.Count()); s <= model.AcceleratorsPerWorker; s *= 2 {
		around := CellAround(cell, s)
		if around == 0 || around&^free != 0 {
			break
		}
		size = s
	}
	return size
}

// CountCells returns how many aligned cells of the given size lie in free.
func CountCells(free Mask, size int) int {
	n := 0
	for base := 0; base < MaxAccelerators && free>>base != 0; base += size {
		if cell := Span(base, size); cell&^free == 0 {
			n++
		}
	}
	return n
}
