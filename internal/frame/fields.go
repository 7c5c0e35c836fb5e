package frame

import "encoding/binary"

// Fields is an encoded list of fields: their number, and for each field the length of its name, the name, the length of
// its value and the value.
type Fields []byte

// Field is a field to be encoded.
type Field struct{ Name, Value string }

// SplitPayload splits a payload into its fields and the body after them. It returns an error if the list of fields is
// incomplete.
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

// fieldAt returns the field at an offset. next is the offset of the following field, or -1 if the field is cut short.
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

// Get returns the value of a field. If several fields have the name, it returns the first.
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
