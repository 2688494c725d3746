/**
 * Encodes messages ahead of their sending. gRPC ends a stream whose message it can't
 * encode, and with it all that the stream carries for others.
 */
import {type DescMessage, type MessageShape, toBinary} from "@bufbuild/protobuf"

const encoded = new WeakMap<object, Uint8Array>()

/** Why a message can't be encoded; undefined if it can be. */
export function findEncodeError<Desc extends DescMessage>(
	schema: Desc,
	message: MessageShape<Desc>
): unknown {
	try {
		encoded.set(message, toBinary(schema, message))
		return undefined
	} catch (err) {
		return err
	}
}

/** Encodes a message, which must not change after `findEncodeError`. */
export function encodeMessage<Desc extends DescMessage>(
	schema: Desc,
	message: MessageShape<Desc>
): Buffer {
	const bytes = encoded.get(message) ?? toBinary(schema, message)
	return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
}
