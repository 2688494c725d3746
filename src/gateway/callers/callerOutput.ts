/**
 * Writes a response to a caller and counts what the caller has not read. Only a
 * window of bytes is handed to the connection at a time, so that the progress of a
 * slow caller shows.
 */
import type {ServerResponse} from "node:http"
import {BufferPart} from "../../policy/buffers/index.js"
import type {RequestBuffers} from "./callerBuffers.js"

export interface CallerOutputOptions {
	res: ServerResponse
	buffers: RequestBuffers
	/** Bytes that may wait before there is no room. */
	maxBytes: number
	/** Called when there is room again. */
	onRoom: () => void
}

const windowBytes = 65_536
/**
 * Counted for each write on top of its bytes: memory of the objects that hold it. A
 * queued event of 90 bytes took 630 bytes of resident memory.
 */
const writeOverheadBytes = 512
/** Share of the bound at which a stream without room has room again. */
const roomShare = 0.5

export class CallerOutput {
	private readonly queue: Buffer[] = []
	private inFlightBytes = 0
	private isEnding = false
	private isFull = false
	private isClosed = false

	constructor(private readonly options: CallerOutputOptions) {
		options.res.once("close", () => {
			this.isClosed = true
			this.queue.length = 0
			options.buffers.remove(BufferPart.Output, this.waitingBytes)
		})
	}

	get hasRoom(): boolean {
		return !this.isFull
	}

	write(bytes: Buffer): void {
		if (this.isClosed || bytes.length === 0) return
		const {buffers, maxBytes} = this.options
		const isLarge = bytes.length > windowBytes
		for (let at = 0; at < bytes.length; at += windowBytes) {
			const slice = bytes.subarray(at, at + windowBytes)
			buffers.add(BufferPart.Output, slice.length + writeOverheadBytes)
			// A slice keeps all of a large buffer in memory until the last one is sent.
			this.queue.push(isLarge ? Buffer.from(slice) : slice)
		}
		this.pump()
		if (this.waitingBytes > maxBytes) this.isFull = true
	}

	/** Ends the response once everything was written. */
	end(): void {
		this.isEnding = true
		this.pump()
	}

	private get waitingBytes(): number {
		return this.options.buffers.getBytes(BufferPart.Output)
	}

	private pump(): void {
		const {res} = this.options
		// Node.js emits an unhandled error for a write after `destroy`.
		if (res.destroyed) return
		while (this.inFlightBytes < windowBytes) {
			const next = this.queue.shift()
			if (next === undefined) break
			this.writeSlice(next)
		}
		if (!this.isEnding || this.queue.length > 0) return
		this.isEnding = false
		res.end()
	}

	private writeSlice(slice: Buffer): void {
		const {res, buffers} = this.options
		this.inFlightBytes += slice.length
		res.write(slice, err => {
			// A write that failed is released as the response closes.
			if (this.isClosed || (err ?? undefined) !== undefined) return
			this.inFlightBytes -= slice.length
			buffers.remove(BufferPart.Output, slice.length + writeOverheadBytes)
			this.pump()
			this.noteRoom()
		})
	}

	private noteRoom(): void {
		const {maxBytes, onRoom} = this.options
		if (!this.isFull || this.waitingBytes > maxBytes * roomShare) return
		this.isFull = false
		onRoom()
	}
}
