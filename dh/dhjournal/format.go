package dhjournal

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// The file consists of a header and frames. All integers are little-endian:
//
//	header: magic [8]byte, format uint32, zero uint32, generation uint64, checksum uint64
//	frame:  length uint32, kind uint8, check uint32, payload [length]byte, checksum uint64
//
// Snapshot frames come first, then one end frame with the sequence number of
// the snapshot, then one frame per appended record. Both the check and the
// checksum of a frame cover the generation and the frame's index, so that a
// stale or displaced frame is not accepted. The check of the frame header
// prevents a damaged length from being mistaken for a truncated record.
const (
	formatVersion    = 1
	fileHeaderBytes  = 32
	frameHeaderBytes = 9
	frameOverhead    = frameHeaderBytes + 8
)

const magic = "dhjrnl\r\n"

const (
	kindSnapshot = iota + 1
	kindSnapshotEnd
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

func frameHeaderSum(generation, index uint64, length uint32, kind byte) uint64 {
	var b [21]byte
	binary.LittleEndian.PutUint64(b[0:], generation)
	binary.LittleEndian.PutUint64(b[8:], index)
	binary.LittleEndian.PutUint32(b[16:], length)
	b[20] = kind
	return xxhash.Sum64(b[:])
}

// checkLastByte is set in the last byte of the check and the checksum, so that
// a single flipped bit cannot make the end of either look unwritten.
const checkLastByte = 0x81

// frameHeaderCheck returns the 32 bits of the frame header's sum that are stored.
func frameHeaderCheck(sum uint64) []byte {
	return binary.LittleEndian.AppendUint32(nil, uint32(sum)|checkLastByte<<24)
}

// payloadCheck returns a checksum of the payload and its position.
func payloadCheck(headerSum uint64, payload []byte) []byte {
	return binary.LittleEndian.AppendUint64(nil, xxhash.Sum64(payload)^headerSum|checkLastByte<<56)
}

func appendFrame(b []byte, generation, index uint64, kind byte, payload []byte) []byte {
	sum := frameHeaderSum(generation, index, uint32(len(payload)), kind)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = append(b, kind)
	b = append(b, frameHeaderCheck(sum)...)
	b = append(b, payload...)
	return append(b, payloadCheck(sum, payload)...)
}

func appendSnapshotEnd(b []byte, generation, index, sequence uint64) []byte {
	return appendFrame(b, generation, index, kindSnapshotEnd, binary.LittleEndian.AppendUint64(nil, sequence))
}

// replay calls apply for each record of a file and returns the sequence number
// after the last one. It ignores a torn tail, which was never acknowledged:
// a record is acknowledged only after a sync of the whole file. All other
// damage is an error.
func replay(data []byte, generation uint64, apply func(record []byte) error) (sequence uint64, err error) {
	if err := checkHeader(data, generation); err != nil {
		return 0, err
	}
	ended := false
	offset := fileHeaderBytes
	for index := uint64(0); offset < len(data); index++ {
		f, err := parseFrame(data[offset:], generation, index)
		if err != nil {
			// The snapshot was synced before the file was renamed to its final name.
			if ended && f.torn {
				return sequence, nil
			}
			return 0, fmt.Errorf("byte %d, frame %d: %w", offset, index, err)
		}
		switch {
		case f.kind == kindSnapshot && !ended, f.kind == kindRecord && ended:
			if err := apply(f.payload); err != nil {
				return 0, fmt.Errorf("byte %d, frame %d: %w", offset, index, err)
			}
			if ended {
				sequence++
			}
		case f.kind == kindSnapshotEnd && !ended && len(f.payload) == 8:
			ended = true
			sequence = binary.LittleEndian.Uint64(f.payload)
		default:
			return 0, fmt.Errorf("byte %d, frame %d: unexpected kind %d", offset, index, f.kind)
		}
		offset += frameOverhead + len(f.payload)
	}
	if !ended {
		return 0, fmt.Errorf("byte %d: snapshot has no end", offset)
	}
	return sequence, nil
}

func checkHeader(data []byte, generation uint64) error {
	if len(data) < fileHeaderBytes || string(data[:len(magic)]) != magic {
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
	// torn is set on an error when the damage can result from an interrupted
	// write: a truncated file, or one of full length that ends in zeros.
	torn bool
}

func parseFrame(data []byte, generation, index uint64) (frame, error) {
	if len(data) < frameHeaderBytes {
		return frame{torn: true}, fmt.Errorf("frame head is cut short")
	}
	length, kind := binary.LittleEndian.Uint32(data), data[4]
	sum := frameHeaderSum(generation, index, length, kind)
	if rest, ok := bytes.CutPrefix(data[5:], frameHeaderCheck(sum)); !ok {
		return frame{torn: isTornCheck(rest, frameHeaderCheck(sum))}, fmt.Errorf("frame head is damaged")
	}
	if uint64(len(data)) < uint64(frameOverhead)+uint64(length) {
		return frame{torn: true}, fmt.Errorf("record is cut short")
	}
	payload, trailer := data[frameHeaderBytes:frameHeaderBytes+int(length)], data[frameHeaderBytes+int(length):]
	if check := payloadCheck(sum, payload); !bytes.HasPrefix(trailer, check) {
		return frame{torn: isTornCheck(trailer, check)}, fmt.Errorf("record checksum does not match")
	}
	return frame{kind: kind, payload: payload}, nil
}

// isTornCheck reports whether data is a proper prefix of check followed only by
// zeros.
func isTornCheck(data, check []byte) bool {
	written := bytes.TrimRight(data, "\x00")
	return len(written) < len(check) && bytes.HasPrefix(check, written)
}
