package frame

import "encoding/binary"

// Fields is a list of fields as it came: their number, and for each the length of its name, the name, the length of its value
// and the value.
type Fields []byte

// Field is one to be sent.
type Field struct{ Name, Value string }

// SplitPayload splits a payload into its fields and the body behind them, and checks that the list is complete.
func SplitPayload(payload []byte) (fields Fields, body []byte, err error) {
	if len(payload) == 0 {
		return nil, nil, errFields
	}
	at := 1
	for range payload[0] {
		_, _, next := fieldAt(payload, at)
		if next < 0 {
			return nil, nil, errFields
		}
		at = next
	}
	return Fields(payload[:at]), payload[at:], nil
}

// fieldAt reads the field at an offset; next is the offset of the one behind it, below zero where this one is cut short.
func fieldAt(list []byte, at int) (name, value []byte, next int) {
	if at >= len(list) {
		return nil, nil, -1
	}
	nameEnd := at + 1 + int(list[at])
	if nameEnd+2 > len(list) {
		return nil, nil, -1
	}
	valueEnd := nameEnd + 2 + int(binary.BigEndian.Uint16(list[nameEnd:]))
	if valueEnd > len(list) {
		return nil, nil, -1
	}
	return list[at+1 : nameEnd], list[nameEnd+2 : valueEnd], valueEnd
}

// Get finds a field's value; of two with one name, the first.
func (f Fields) Get(wanted string) (value []byte, found bool) {
	for at, left := 1, int(f[0]); left > 0; left-- {
		name, value, next := fieldAt(f, at)
		if string(name) == wanted {
			return value, true
		}
		at = next
	}
	return nil, false
}

func appendFields(to []byte, fields []Field) []byte {
	to = append(to, byte(len(fields)))
	for _, f := range fields {
		name := f.Name[:min(len(f.Name), maxNameBytes)]
		to = append(append(to, byte(len(name))), name...)
		to = append(binary.BigEndian.AppendUint16(to, uint16(len(f.Value))), f.Value...)
	}
	return to
}
