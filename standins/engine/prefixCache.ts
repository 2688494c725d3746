/** LRU cache of the prompt prefixes of each adapter. */

const prefixCharacters = 64
const maxPrefixesPerAdapter = 16

export class PrefixCache {
	private readonly prefixes = new Map<string, Set<string>>()

	/**
	 * Makes the prompt's prefix the most recently used one of its adapter, and
	 * returns whether it was cached before.
	 */
	touch(model: string, prompt: string): boolean {
		const prefix = prompt.slice(0, prefixCharacters)
		const cached = this.prefixes.get(model) ?? new Set()
		this.prefixes.set(model, cached)
		const isCached = cached.delete(prefix)
		cached.add(prefix)
		const [oldest = prefix] = cached
		if (cached.size > maxPrefixesPerAdapter) cached.delete(oldest)
		return isCached
	}

	/** Evicts the prefixes of one adapter, or of all when none is given. */
	evict(model?: string): void {
		if (model === undefined) this.prefixes.clear()
		else this.prefixes.delete(model)
	}
}
