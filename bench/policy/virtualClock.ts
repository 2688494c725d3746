/** A clock that advances from one scheduled call to the next. */
import {KeyedHeap} from "../../src/policy/keyedHeap.js"

export class VirtualClock {
	now = 0
	private readonly calls = new KeyedHeap<() => void>()
	private nextCall = 0

	at(time: number, call: () => void): void {
		const key = String(this.nextCall++)
		this.calls.set(key, call, Math.max(time, this.now))
	}

	/** Makes every call scheduled up to `until`. */
	run(until: number): void {
		for (;;) {
			const at = this.calls.peekPriority()
			if (at === undefined || at > until) return
			this.now = at
			this.calls.pop()?.()
		}
	}
}
