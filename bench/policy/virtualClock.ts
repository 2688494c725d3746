/** A clock whose time advances from one scheduled call to the next. */
import {KeyedHeap} from "../../src/policy/keyedHeap.js"

export class VirtualClock {
	now = 0
	private readonly calls = new KeyedHeap<() => void>()
	private nextCallId = 0

	schedule(time: number, call: () => void): void {
		const key = String(this.nextCallId++)
		this.calls.set(key, call, Math.max(time, this.now))
	}

	/** Runs the calls scheduled up to `until` in the order of their times. */
	run(until: number): void {
		for (;;) {
			const at = this.calls.peekPriority()
			if (at === undefined || at > until) return
			this.now = at
			this.calls.pop()?.()
		}
	}
}
