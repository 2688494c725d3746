/**
 * Which prompt parts an engine has read and probably still keeps. Parts are
 * kept for one adapter, and a part only counts when all before it are kept.
 */
import type {PromptPart} from "./types.js"

export class PromptCache {
	/** Prefix to the tokens of its last part, least recently used first. */
	private readonly kept = new Map<string, number>()
	private tokens = 0

	constructor(private capacity: number) {}

	setCapacity(tokens: number): void {
		this.capacity = tokens
		this.evict()
	}

	/** Tokens of the prompt that the engine still has to read. */
	getUnread(adapter: string, parts: readonly PromptPart[]): number {
		let unread = 0
		let isKept = true
		let prefix = adapter
		for (const part of parts) {
			prefix = `${prefix}|${part.id}`
			isKept = isKept && this.kept.has(prefix)
			if (!isKept) unread += part.tokens
		}
		return unread
	}

	/** Counts the prompt as read by the engine. */
	add(adapter: string, parts: readonly PromptPart[]): void {
		let prefix = adapter
		for (const part of parts) {
			prefix = `${prefix}|${part.id}`
			const known = this.kept.get(prefix)
			if (known === undefined) this.tokens += part.tokens
			else this.kept.delete(prefix)
			this.kept.set(prefix, part.tokens)
		}
		this.evict()
	}

	clear(): void {
		this.kept.clear()
		this.tokens = 0
	}

	private evict(): void {
		for (const [prefix, tokens] of this.kept) {
			if (this.tokens <= this.capacity) return
			this.kept.delete(prefix)
			this.tokens -= tokens
		}
	}
}
