// Package topology models the accelerator hierarchy of one shard: aligned cells within a
// worker, racks and the shard. It tracks which accelerators are free and which gangs hold
// the others.
package topology

import (
	"math/bits"

	"github.com/daisyfold/daisyfold/internal/model"
)

// MaxAcceleratorsPerWorker is the largest number of accelerators of one worker that the
// planner uses. It is the width of a Mask in bits.
const MaxAcceleratorsPerWorker = 64

// Mask is a set of accelerator indices on one worker.
type Mask uint64

// MaskRange returns the mask of n accelerators starting at index start.
func MaskRange(start, n int) Mask {
	if n >= MaxAcceleratorsPerWorker {
		return ^Mask(0)
	}
	return (Mask(1)<<n - 1) << start
}

// MaskOf returns the mask of the given accelerator indices.
func MaskOf(indices []int) Mask {
	var m Mask
	for _, i := range indices {
		m |= 1 << i
	}
	return m
}

// Count returns the number of accelerators in m.
func (m Mask) Count() int { return bits.OnesCount64(uint64(m)) }

// Indices returns the accelerator indices in m in ascending order.
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

// Lowest returns the n accelerators of m with the lowest indices, or m if it has fewer.
func (m Mask) Lowest(n int) Mask {
	var out Mask
	for ; n > 0 && m != 0; n-- {
		low := m & -m
		out |= low
		m &^= low
	}
	return out
}

// CellSize returns the size of the smallest aligned cell that holds n accelerators, a
// power of two.
func CellSize(n int) int {
	if n <= 1 {
		return 1
	}
	return 1 << bits.Len(uint(n-1))
}

// EnclosingCell returns the aligned cell of the given size that contains m, or 0 if m is
// empty or does not lie in one such cell.
func EnclosingCell(m Mask, size int) Mask {
	if m == 0 {
		return 0
	}
	start := bits.TrailingZeros64(uint64(m)) / size * size
	cell := MaskRange(start, size)
	if m&^cell != 0 {
		return 0
	}
	return cell
}

// EnclosingFreeCellSize returns the size of the largest aligned cell within a worker that
// contains cell and is entirely free, or 0 if cell is not free.
func EnclosingFreeCellSize(cell, free Mask) int {
	size := 0
	for s := CellSize(cell.Count()); s <= model.AcceleratorsPerWorker; s *= 2 {
		enclosing := EnclosingCell(cell, s)
		if enclosing == 0 || enclosing&^free != 0 {
			break
		}
		size = s
	}
	return size
}

// CountFreeCells returns the number of aligned cells of the given size that are entirely
// free.
func CountFreeCells(free Mask, size int) int {
	n := 0
	for start := 0; start < MaxAcceleratorsPerWorker && free>>start != 0; start += size {
		if cell := MaskRange(start, size); cell&^free == 0 {
			n++
		}
	}
	return n
}
