/**
 * Sum of the amounts sent within a sliding window. Amounts are added up in slots, so
 * that the memory is bounded; an amount leaves the window with the end of its slot.
 */

const slotMs = 100

interface Slot {
	endAt: number
	amount: number
}

export class SentWindow {
	private slots: Slot[] = []
	private sum = 0

	constructor(private readonly windowMs: number) {}

	/** Adds an amount that was sent at `at`; amounts may come a little out of order. */
	add(at: number, amount: number): void {
		const endAt = Math.ceil(at / slotMs) * slotMs
		this.sum += amount
		const last = this.slots.at(-1)
		// Counted longer rather than shorter than it has to be.
		if (last !== undefined && endAt <= last.endAt) last.amount += amount
		else this.slots.push({endAt, amount})
	}

	getSum(now: number): number {
		this.expire(now)
		return this.sum
	}

	/** Time until the sum is lower by `amount`; undefined if it is less than that. */
	getWaitMs(amount: number, now: number): number | undefined {
		this.expire(now)
		let left = amount
		for (const slot of this.slots) {
			left -= slot.amount
			if (left <= 0) return Math.max(0, slot.endAt + this.windowMs - now)
		}
		return undefined
	}

	private expire(now: number): void {
		const isPast = ({endAt}: Slot): boolean => endAt + this.windowMs <= now
		const [first] = this.slots
		if (first === undefined || !isPast(first)) return
		this.slots = this.slots.filter(slot => !isPast(slot))
		this.sum = this.slots.reduce((sum, {amount}) => sum + amount, 0)
	}
}
