/**
 * The chunks that a simulated endpoint streams for a request. The caller sends
 * the plan as the request's prompt.
 */

export class ChunkPlan {
	constructor(
		readonly chunks: number,
		readonly tokensPerChunk: number,
		readonly intervalMs: number
	) {}

	static parse(text: string): ChunkPlan {
		const [chunks = 0, tokens = 0, interval = 0] = text.split(" ").map(Number)
		return new ChunkPlan(chunks, tokens, interval)
	}

	toString(): string {
		return `${this.chunks} ${this.tokensPerChunk} ${this.intervalMs}`
	}
}
