/** Reads the body of a caller's request, up to a limit. */
import type {IncomingMessage} from "node:http"
import {BufferPart} from "../../policy/buffers/index.js"
import type {CallerExchange} from "./callerExchange.js"

/**
 * Calls back with the whole body, or with undefined once it is too large. Keeps
 * nothing of it once the exchange has ended.
 */
export function readBody(
	req: IncomingMessage,
	maxBytes: number,
	exchange: CallerExchange,
	onBody: (body: Buffer | undefined) => void
): void {
	const {buffers} = exchange
	const chunks: Buffer[] = []
	let size = 0
	let isTooLarge = false
	const drop = (): void => {
		chunks.length = 0
		buffers.remove(BufferPart.Upload, size)
	}
	req.on("data", (chunk: Buffer) => {
		if (isTooLarge) return
		if (!exchange.isOpen) {
			drop()
			return
		}
		size += chunk.length
		if (size <= maxBytes) {
			chunks.push(chunk)
			buffers.add(BufferPart.Upload, chunk.length)
			return
		}
		isTooLarge = true
		drop()
		onBody(undefined)
	})
	req.on("end", () => {
		if (isTooLarge) return
		buffers.move(BufferPart.Upload, BufferPart.Request)
		onBody(Buffer.concat(chunks))
	})
	// A disconnect of the caller is handled by the response's `close` event.
	req.on("error", () => undefined)
}
