/** Attempts that wait for a key of the claim log. */
import type {KeyedCall} from "./claimTypes.js"

export interface Waiter {
	call: KeyedCall
	/** When the wait for the claim ends. */
	giveUpAt: number
	isSender: boolean
}

export class ClaimWaiters {
	private readonly waiting = new Map<string, Waiter[]>()

	get isEmpty(): boolean {
		return this.waiting.size === 0
	}

	/** Keys that attempts wait for; a copy, so that they may end meanwhile. */
	get keys(): string[] {
		return [...this.waiting.keys()]
	}

	has(key: string): boolean {
		return this.waiting.has(key)
	}

	add(call: KeyedCall, giveUpAt: number): void {
		const waiters = this.waiting.get(call.key) ?? []
		waiters.push({call, giveUpAt, isSender: false})
		this.waiting.set(call.key, waiters)
	}

	/** Removes and returns all attempts at a key. */
	take(key: string): Waiter[] {
		const waiters = this.waiting.get(key) ?? []
		this.waiting.delete(key)
		return waiters
	}

	/** Removes and returns the attempts for which `isChosen` holds. */
	takeIf(key: string, isChosen: (waiter: Waiter) => boolean): Waiter[] {
		const waiters = this.take(key)
		const kept = waiters.filter(waiter => !isChosen(waiter))
		if (kept.length > 0) this.waiting.set(key, kept)
		return waiters.filter(waiter => !kept.includes(waiter))
	}

	/** Marks the attempt with the latest deadline as the one to be sent. */
	chooseSender(key: string): KeyedCall | undefined {
		let sender: Waiter | undefined
		for (const waiter of this.waiting.get(key) ?? []) {
			const latest = sender?.call.deadline ?? -Infinity
			if (waiter.call.deadline > latest) sender = waiter
		}
		if (sender !== undefined) sender.isSender = true
		return sender?.call
	}

	/** Earliest time that `timeOf` gives for an attempt. */
	earliest(timeOf: (waiter: Waiter) => number): number {
		let earliest = Infinity
		for (const waiters of this.waiting.values()) {
			for (const waiter of waiters) {
				earliest = Math.min(earliest, timeOf(waiter))
			}
		}
		return earliest
	}
}
