/** FIFO queue of entries that are to be appended to the claim log. */
import {type ClaimEntry, ClaimEntryType, countJsonChars} from "./claimLog.js"

export interface QueuedEntry {
	entry: ClaimEntry
	/** Time at which the entry makes a write due; it may be written earlier. */
	dueAt: number
}

export class ClaimQueue {
	private queued: QueuedEntry[] = []

	get isEmpty(): boolean {
		return this.queued.length === 0
	}

	/** Earliest `dueAt` of the entries; infinite when there is none. */
	get dueAt(): number {
		return this.queued.reduce(
			(earliest, {dueAt}) => Math.min(earliest, dueAt),
			Infinity
		)
	}

	push(entry: ClaimEntry, dueAt: number): void {
		this.queued.push({entry, dueAt})
	}

	/**
	 * Removes and returns entries from the front, up to `maxChars` in total. The
	 * first entry is returned whatever its size.
	 */
	take(maxChars: number): QueuedEntry[] {
		let chars = 0
		let count = 0
		for (const {entry} of this.queued) {
			chars += countJsonChars(entry)
			if (count > 0 && chars > maxChars) break
			count += 1
		}
		return this.queued.splice(0, count)
	}

	/** Returns entries to the front that were taken but not written. */
	prepend(queued: readonly QueuedEntry[]): void {
		this.queued.unshift(...queued)
	}

	/** Removes the claims that `shouldKeep` rejects; other entries stay. */
	filterClaims(shouldKeep: (entry: ClaimEntry) => boolean): void {
		this.queued = this.queued.filter(
			({entry}) => entry.type !== ClaimEntryType.Claim || shouldKeep(entry)
		)
	}
}
