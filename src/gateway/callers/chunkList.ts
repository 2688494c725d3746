/**
 * Bytes in the order in which they arrived. Small chunks are copied into blocks, since
 * an object for each would take many times the memory of its bytes.
 */

/** Chunks from this size on are kept as they are. */
const minLoneBytes = 4096
const minBlockBytes = 512
const maxBlockBytes = 16_384

export class ChunkList {
	private chunks: Buffer[] = []
	/** The block that is being filled; its first bytes are in use. */
	private block: Buffer | undefined
	private usedBytes = 0
	private total = 0

	get length(): number {
		return this.total
	}

	push(chunk: Buffer): void {
		if (chunk.length === 0) return
		this.total += chunk.length
		if (chunk.length >= minLoneBytes) {
			this.closeBlock()
			this.chunks.push(chunk)
			return
		}
		const block = this.makeRoom(chunk.length)
		chunk.copy(block, this.usedBytes)
		this.usedBytes += chunk.length
	}

	/** Returns all chunks and keeps none. */
	take(): Buffer[] {
		this.closeBlock()
		const {chunks} = this
		this.chunks = []
		this.total = 0
		return chunks
	}

	private makeRoom(bytes: number): Buffer {
		const {block} = this
		const neededBytes = this.usedBytes + bytes
		if (block !== undefined && neededBytes <= block.length) return block
		if (neededBytes > maxBlockBytes) {
			this.closeBlock()
			return this.makeRoom(bytes)
		}
		const size = Math.max(minBlockBytes, 2 * neededBytes)
		const grown = Buffer.allocUnsafeSlow(Math.min(maxBlockBytes, size))
		block?.copy(grown, 0, 0, this.usedBytes)
		this.block = grown
		return grown
	}

	private closeBlock(): void {
		if (this.block === undefined) return
		this.chunks.push(this.block.subarray(0, this.usedBytes))
		this.block = undefined
		this.usedBytes = 0
	}
}
