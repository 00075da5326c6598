package dhintake

import (
	"bytes"
	"math"
)

// maxChunkBytes is the size from which on further digits of the size of a chunk are not
// counted; net/http refuses such a chunk.
const maxChunkBytes = math.MaxInt64 >> 8

type framingMode int

// What the next bytes of a connection are part of.
const (
	modeHead framingMode = iota
	modeLength
	modeChunkSize
	modeChunkData
	modeChunkEnd
	modeTrailer
)

// framing finds the ends of requests in the bytes of a connection and counts the lines of
// their heads and trailers. net/http parses and validates them.
type framing struct {
	mode framingMode
	// left is the number of bytes left of a body or chunk.
	left int64
	// inLine is the number of bytes of the present line, and onlyReturn is set if it consists
	// of a carriage return.
	inLine     int
	onlyReturn bool
	// lines and bytes are those of the head or trailer, first the bytes up to the end of the
	// request line, section those after it; begun is set once the request line has ended.
	lines, bytes, first, section int
	begun                        bool
	// payload is the number of bytes of heads, trailers and bodies, without the framing of
	// chunks.
	payload int64
	// sizeEnded is set once the digits of the size of a chunk have ended.
	sizeEnded bool
}

// countsLines reports whether the bytes that were taken last may belong to a head or trailer.
func (f *framing) countsLines() bool { return f.lines+f.bytes > 0 }

// memory returns the memory that the head or trailer uses.
func (f *framing) memory() int64 { return int64(f.lines)*lineBytes + int64(f.bytes)*headByteBytes }

// reset makes the next bytes those of a head.
func (f *framing) reset() { *f = framing{} }

// startBody makes the next bytes those of a body of length bytes, or of chunks if length is
// below 0.
func (f *framing) startBody(length int64) {
	*f = framing{mode: modeLength, left: length}
	if length < 0 {
		*f = framing{mode: modeChunkSize}
	}
}

// take counts bytes up to the end of a head or of a body and returns how many it has taken,
// and whether that end was reached.
func (f *framing) take(b []byte) (n int, done bool) {
	for n < len(b) && !done {
		taken := 0
		switch f.mode {
		case modeHead, modeTrailer:
			taken, done = f.takeLine(b[n:])
		case modeLength, modeChunkData:
			taken = int(min(f.left, int64(len(b)-n)))
			f.payload += int64(taken)
			if f.left -= int64(taken); f.left == 0 {
				done = f.mode == modeLength
				f.mode = modeChunkEnd
			}
		case modeChunkSize:
			taken = f.takeSize(b[n:])
		case modeChunkEnd:
			if taken = bytes.IndexByte(b[n:], '\n') + 1; taken == 0 {
				taken = len(b) - n
			} else {
				f.mode, f.left, f.sizeEnded = modeChunkSize, 0, false
			}
		}
		n += taken
	}
	return n, done
}

// takeLine takes the bytes up to the end of a line of a head or trailer. An empty line ends
// it, but not before the request line.
func (f *framing) takeLine(b []byte) (n int, done bool) {
	end := bytes.IndexByte(b, '\n')
	n = end + 1
	if end < 0 {
		n, end = len(b), len(b)
	}
	if f.inLine == 0 && end > 0 {
		f.onlyReturn = b[0] == '\r'
	}
	f.inLine += end
	f.bytes += n
	f.payload += int64(n)
	beforeSection := f.mode == modeHead && !f.begun
	if beforeSection {
		f.first += n
	} else {
		f.section += n
	}
	if n == end {
		return n, false
	}
	empty := f.inLine == 0 || f.inLine == 1 && f.onlyReturn
	f.lines++
	f.inLine, f.onlyReturn = 0, false
	f.begun = f.begun || !empty
	return n, empty && !beforeSection
}

// takeSize takes the bytes up to the end of the line with the size of a chunk.
func (f *framing) takeSize(b []byte) int {
	for i, c := range b {
		digit := hexDigit(c)
		switch {
		case c == '\n':
			f.mode = modeChunkData
			if f.left == 0 {
				f.mode = modeTrailer
			}
			return i + 1
		case digit < 0 || f.left > maxChunkBytes:
			f.sizeEnded = true
		case !f.sizeEnded:
			f.left = f.left<<4 | int64(digit)
		}
	}
	return len(b)
}

func hexDigit(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}
