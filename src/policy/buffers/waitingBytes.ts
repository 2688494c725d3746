/** Bytes that wait in the order in which they came, and since when the first one does. */

/** Bytes that came within this time of each other are kept as one entry. */
const mergeMs = 50

export class WaitingBytes {
	private readonly entries: {bytes: number; at: number}[] = []
	private total = 0

	get bytes(): number {
		return this.total
	}

	add(bytes: number, now: number): void {
		if (bytes <= 0) return
		this.total += bytes
		const last = this.entries.at(-1)
		if (last !== undefined && now - last.at < mergeMs) last.bytes += bytes
		else this.entries.push({bytes, at: now})
	}

	/** Removes the bytes that came first. */
	remove(bytes: number): void {
		let left = Math.min(bytes, this.total)
		this.total -= left
		for (
			let [first] = this.entries;
			first !== undefined;
			[first] = this.entries
		) {
			const removed = Math.min(left, first.bytes)
			first.bytes -= removed
			left -= removed
			if (first.bytes > 0) return
			this.entries.shift()
		}
	}

	/** How long the first byte has waited; 0 if none waits. */
	getWaitedMs(now: number): number {
		const [first] = this.entries
		return first === undefined ? 0 : now - first.at
	}
}
