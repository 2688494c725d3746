/** Attempts that wait until their key is claimed or its call has ended. */
import type {KeyedCall} from "./claimTypes.js"

export interface Waiter {
	call: KeyedCall
	/**
	 * Time until which the attempt waits for its claim to be written or, if
	 * another process claimed the key, for the log to be read. While the call
	 * runs, its deadline applies instead.
	 */
	claimTimeoutAt: number
	/** True for the attempt whose call is sent to the endpoint. */
	isSender: boolean
}

export class ClaimWaiters {
	/** Attempts by key. */
	private readonly waiting = new Map<string, Waiter[]>()

	get isEmpty(): boolean {
		return this.waiting.size === 0
	}

	/** A copy of the waited-for keys; attempts may be removed while iterating. */
	get keys(): string[] {
		return [...this.waiting.keys()]
	}

	has(key: string): boolean {
		return this.waiting.has(key)
	}

	add(call: KeyedCall, claimTimeoutAt: number): void {
		const waiters = this.waiting.get(call.key) ?? []
		waiters.push({call, claimTimeoutAt, isSender: false})
		this.waiting.set(call.key, waiters)
	}

	/** Removes and returns all attempts that wait for a key. */
	take(key: string): Waiter[] {
		const waiters = this.waiting.get(key) ?? []
		this.waiting.delete(key)
		return waiters
	}

	/** Removes and returns the attempts that `isChosen` accepts. */
	takeIf(key: string, isChosen: (waiter: Waiter) => boolean): Waiter[] {
		const waiters = this.take(key)
		const kept = waiters.filter(waiter => !isChosen(waiter))
		if (kept.length > 0) this.waiting.set(key, kept)
		return waiters.filter(waiter => !kept.includes(waiter))
	}

	/** Marks the attempt with the latest deadline as the sender. */
	chooseSender(key: string): KeyedCall | undefined {
		let sender: Waiter | undefined
		for (const waiter of this.waiting.get(key) ?? []) {
			const latest = sender?.call.deadline ?? -Infinity
			if (waiter.call.deadline > latest) sender = waiter
		}
		if (sender !== undefined) sender.isSender = true
		return sender?.call
	}

	/** Earliest time that `timeOf` returns for any waiting attempt. */
	findEarliest(timeOf: (waiter: Waiter) => number): number {
		let earliest = Infinity
		for (const waiters of this.waiting.values()) {
			for (const waiter of waiters) {
				earliest = Math.min(earliest, timeOf(waiter))
			}
		}
		return earliest
	}
}
