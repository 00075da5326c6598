package dhjournal

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// The file is a header and frames, all integers little-endian:
//
//	header: magic [8]byte, format uint32, zero uint32, generation uint64, checksum uint64
//	frame:  length uint32, kind uint8, check uint32, payload [length]byte, checksum uint64
//
// Snapshot frames come first, then one end frame with the sequence number of
// the snapshot, then one frame per appended record. Both checks cover the
// generation and the frame's index, so that a stale or displaced frame is not
// taken as valid. The check of the frame's head keeps a damaged length from
// looking like a record that was cut short.
const (
	formatVersion = 1
	headerBytes   = 32
	frameHead     = 9
	frameOverhead = frameHead + 8
)

const magic = "dhjrnl\r\n"

const (
	kindSnapshot = iota + 1
	kindEnd
	kindRecord
)

func appendHeader(b []byte, generation uint64) []byte {
	start := len(b)
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint32(b, formatVersion)
	b = binary.LittleEndian.AppendUint32(b, 0)
	b = binary.LittleEndian.AppendUint64(b, generation)
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b[start:]))
}

func headSum(generation, index uint64, length uint32, kind byte) uint64 {
	var b [21]byte
	binary.LittleEndian.PutUint64(b[0:], generation)
	binary.LittleEndian.PutUint64(b[8:], index)
	binary.LittleEndian.PutUint32(b[16:], length)
	b[20] = kind
	return xxhash.Sum64(b[:])
}

// lastByte is set in the last byte of both checks, so that no single flipped
// bit makes a check look as if its end was never written.
const lastByte = 0x81

// headCheck returns the 32 bits of the head's sum that are stored.
func headCheck(sum uint64) []byte {
	return binary.LittleEndian.AppendUint32(nil, uint32(sum)|lastByte<<24)
}

// payloadCheck binds the payload to its position.
func payloadCheck(head uint64, payload []byte) []byte {
	return binary.LittleEndian.AppendUint64(nil, xxhash.Sum64(payload)^head|lastByte<<56)
}

func appendFrame(b []byte, generation, index uint64, kind byte, payload []byte) []byte {
	sum := headSum(generation, index, uint32(len(payload)), kind)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = append(b, kind)
	b = append(b, headCheck(sum)...)
	b = append(b, payload...)
	return append(b, payloadCheck(sum, payload)...)
}

func appendSnapshotEnd(b []byte, generation, index, sequence uint64) []byte {
	return appendFrame(b, generation, index, kindEnd, binary.LittleEndian.AppendUint64(nil, sequence))
}

// replay calls apply for each record of a file and returns the sequence number
// after the last one. A torn tail is left out: it was never acknowledged,
// because a record is acknowledged only after a sync of the whole file. All
// other damage is an error.
func replay(data []byte, generation uint64, apply func(record []byte) error) (sequence uint64, err error) {
	if err := checkHeader(data, generation); err != nil {
		return 0, err
	}
	ended := false
	at := headerBytes
	for index := uint64(0); at < len(data); index++ {
		f, err := parseFrame(data[at:], generation, index)
		if err != nil {
			// The snapshot was synced before the file got its name.
			if ended && f.torn {
				return sequence, nil
			}
			return 0, fmt.Errorf("byte %d, frame %d: %w", at, index, err)
		}
		switch {
		case f.kind == kindSnapshot && !ended, f.kind == kindRecord && ended:
			if err := apply(f.payload); err != nil {
				return 0, fmt.Errorf("byte %d, frame %d: %w", at, index, err)
			}
			if ended {
				sequence++
			}
		case f.kind == kindEnd && !ended && len(f.payload) == 8:
			ended = true
			sequence = binary.LittleEndian.Uint64(f.payload)
		default:
			return 0, fmt.Errorf("byte %d, frame %d: unexpected kind %d", at, index, f.kind)
		}
		at += frameOverhead + len(f.payload)
	}
	if !ended {
		return 0, fmt.Errorf("byte %d: snapshot has no end", at)
	}
	return sequence, nil
}

func checkHeader(data []byte, generation uint64) error {
	if len(data) < headerBytes || string(data[:len(magic)]) != magic {
		return fmt.Errorf("not a journal file")
	}
	if got, want := binary.LittleEndian.Uint64(data[24:]), xxhash.Sum64(data[:24]); got != want {
		return fmt.Errorf("header checksum is %016x, want %016x", got, want)
	}
	if v := binary.LittleEndian.Uint32(data[8:]); v != formatVersion {
		return fmt.Errorf("format %d is not supported, want %d", v, formatVersion)
	}
	if g := binary.LittleEndian.Uint64(data[16:]); g != generation {
		return fmt.Errorf("generation is %d, the file name says %d", g, generation)
	}
	return nil
}

type frame struct {
	kind    byte
	payload []byte
	// torn is set on an error when the damage is what an interrupted write
	// leaves: a file cut short, or one of full length that ends in zeros.
	torn bool
}

func parseFrame(data []byte, generation, index uint64) (frame, error) {
	if len(data) < frameHead {
		return frame{torn: true}, fmt.Errorf("frame head is cut short")
	}
	length, kind := binary.LittleEndian.Uint32(data), data[4]
	sum := headSum(generation, index, length, kind)
	if rest, ok := bytes.CutPrefix(data[5:], headCheck(sum)); !ok {
		return frame{torn: endsInZeros(rest, headCheck(sum))}, fmt.Errorf("frame head is damaged")
	}
	if uint64(len(data)) < uint64(frameOverhead)+uint64(length) {
		return frame{torn: true}, fmt.Errorf("record is cut short")
	}
	payload, trailer := data[frameHead:frameHead+int(length)], data[frameHead+int(length):]
	if check := payloadCheck(sum, payload); !bytes.HasPrefix(trailer, check) {
		return frame{torn: endsInZeros(trailer, check)}, fmt.Errorf("record checksum does not match")
	}
	return frame{kind: kind, payload: payload}, nil
}

// endsInZeros reports whether data is a part of check that is shorter than it,
// followed by zeros only.
func endsInZeros(data, check []byte) bool {
	written := bytes.TrimRight(data, "\x00")
	return len(written) < len(check) && bytes.HasPrefix(check, written)
}
