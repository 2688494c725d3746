/** Recently used prompt prefixes of each adapter. */

const prefixLength = 64
const maxPrefixesPerAdapter = 16

export class PrefixCache {
	private readonly prefixes = new Map<string, Set<string>>()

	/** Marks the prompt's prefix as used; true when it was cached. */
	touch(model: string, prompt: string): boolean {
		const prefix = prompt.slice(0, prefixLength)
		const cached = this.prefixes.get(model) ?? new Set()
		this.prefixes.set(model, cached)
		const isCached = cached.delete(prefix)
		cached.add(prefix)
		const [oldest = prefix] = cached
		if (cached.size > maxPrefixesPerAdapter) cached.delete(oldest)
		return isCached
	}

	/** Forgets one adapter, or all. */
	drop(model?: string): void {
		if (model === undefined) this.prefixes.clear()
		else this.prefixes.delete(model)
	}
}
