/** Entries of the claim log that wait to be written, in order. */
import {type ClaimEntry, ClaimEntryType, sizeOf} from "./claimLog.js"

export interface QueuedEntry {
	entry: ClaimEntry
	/** Time by which it should be written. */
	dueAt: number
}

export class ClaimQueue {
	private queued: QueuedEntry[] = []

	get isEmpty(): boolean {
		return this.queued.length === 0
	}

	/** When the first entry is due; infinite when there is none. */
	get dueAt(): number {
		return this.queued.reduce(
			(earliest, {dueAt}) => Math.min(earliest, dueAt),
			Infinity
		)
	}

	push(entry: ClaimEntry, dueAt: number): void {
		this.queued.push({entry, dueAt})
	}

	/** Removes and returns the first entries, at least one if there is any. */
	take(maxChars: number): QueuedEntry[] {
		let chars = 0
		let count = 0
		for (const {entry} of this.queued) {
			chars += sizeOf(entry)
			if (count > 0 && chars > maxChars) break
			count += 1
		}
		return this.queued.splice(0, count)
	}

	/** Puts entries back that were taken and not written. */
	putBack(queued: readonly QueuedEntry[]): void {
		this.queued.unshift(...queued)
	}

	/** Drops the claims for which `isWanted` does not hold. */
	keepClaims(isWanted: (entry: ClaimEntry) => boolean): void {
		this.queued = this.queued.filter(
			({entry}) => entry.type !== ClaimEntryType.Claim || isWanted(entry)
		)
	}
}
