/**
 * Estimates which prompt parts an engine has in its prefix cache. A part is
 * cached for one adapter, and is only of use if all parts before it are cached.
 */
import type {PromptPart} from "./types.js"

export class PrefixCache {
	/** Tokens of each prefix's last part, least recently used first. */
	private readonly tokensByPrefix = new Map<string, number>()
	private tokens = 0

	constructor(private capacity: number) {}

	setCapacity(tokens: number): void {
		this.capacity = tokens
		this.evict()
	}

	/** Tokens of the prompt that the engine has to prefill. */
	countUncachedTokens(adapter: string, parts: readonly PromptPart[]): number {
		let uncached = 0
		let isCached = true
		let prefix = adapter
		for (const part of parts) {
			prefix = `${prefix}|${part.id}`
			isCached = isCached && this.tokensByPrefix.has(prefix)
			if (!isCached) uncached += part.tokens
		}
		return uncached
	}

	/** Records that the engine has prefilled the prompt. */
	add(adapter: string, parts: readonly PromptPart[]): void {
		let prefix = adapter
		for (const part of parts) {
			prefix = `${prefix}|${part.id}`
			const known = this.tokensByPrefix.get(prefix)
			if (known === undefined) this.tokens += part.tokens
			else this.tokensByPrefix.delete(prefix)
			this.tokensByPrefix.set(prefix, part.tokens)
		}
		this.evict()
	}

	clear(): void {
		this.tokensByPrefix.clear()
		this.tokens = 0
	}

	private evict(): void {
		for (const [prefix, tokens] of this.tokensByPrefix) {
			if (this.tokens <= this.capacity) return
			this.tokensByPrefix.delete(prefix)
			this.tokens -= tokens
		}
	}
}
