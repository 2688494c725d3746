/**
 * A binary min-heap with an index by key, so that an entry's priority can be
 * changed, or the entry removed, in logarithmic time. Entries of equal priority
 * are popped in the order in which their keys were inserted.
 */
interface Entry<V> {
	key: string
	value: V
	priority: number
	sequence: number
	position: number
}

export class KeyedHeap<V> {
	private readonly entries: Entry<V>[] = []
	private readonly byKey = new Map<string, Entry<V>>()
	private nextSequence = 0

	get size(): number {
		return this.entries.length
	}

	has(key: string): boolean {
		return this.byKey.has(key)
	}

	/** Inserts an entry, or changes the value and priority of an existing one. */
	set(key: string, value: V, priority: number): void {
		const existing = this.byKey.get(key)
		if (existing) {
			existing.value = value
			if (existing.priority === priority) return
			existing.priority = priority
			this.restoreOrder(existing)
			return
		}
		const entry = {
			key,
			value,
			priority,
			sequence: this.nextSequence++,
			position: this.entries.length
		}
		this.entries.push(entry)
		this.byKey.set(key, entry)
		this.siftUp(entry)
	}

	delete(key: string): boolean {
		const entry = this.byKey.get(key)
		if (!entry) return false
		this.byKey.delete(key)
		const last = this.entries.pop()
		if (!last || last === entry) return true
		this.setPosition(last, entry.position)
		this.restoreOrder(last)
		return true
	}

	peek(): V | undefined {
		return this.entries[0]?.value
	}

	peekPriority(): number | undefined {
		return this.entries[0]?.priority
	}

	pop(): V | undefined {
		const first = this.entries[0]
		if (!first) return undefined
		this.delete(first.key)
		return first.value
	}

	/** Values in no particular order. */
	*values(): IterableIterator<V> {
		for (const entry of this.entries) yield entry.value
	}

	private restoreOrder(entry: Entry<V>): void {
		this.siftUp(entry)
		this.siftDown(entry)
	}

	private siftUp(entry: Entry<V>): void {
		while (entry.position > 0) {
			const parent = this.entries[(entry.position - 1) >> 1]
			if (!parent || !isBefore(entry, parent)) return
			this.swap(entry, parent)
		}
	}

	private siftDown(entry: Entry<V>): void {
		for (;;) {
			const child = this.getFirstChild(entry.position)
			if (!child || !isBefore(child, entry)) return
			this.swap(entry, child)
		}
	}

	private getFirstChild(position: number): Entry<V> | undefined {
		const left = this.entries[2 * position + 1]
		const right = this.entries[2 * position + 2]
		if (!left || !right) return left
		return isBefore(right, left) ? right : left
	}

	private swap(a: Entry<V>, b: Entry<V>): void {
		const position = a.position
		this.setPosition(a, b.position)
		this.setPosition(b, position)
	}

	private setPosition(entry: Entry<V>, position: number): void {
		this.entries[position] = entry
		entry.position = position
	}
}

function isBefore<V>(a: Entry<V>, b: Entry<V>): boolean {
	if (a.priority !== b.priority) return a.priority < b.priority
	return a.sequence < b.sequence
}
