/** What a stand-in for an engine sends, written into the prompt. */

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
