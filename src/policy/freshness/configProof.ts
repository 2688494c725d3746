/**
 * Proof that a gateway's configuration was the newest at a moment in the past. All
 * times are of `ContinuousTime`.
 */

/** Another gateway's answer to the question how old its proof is. */
export interface Confirmation {
	/** Version of the other gateway's configuration. */
	version: number
	/** Age of its proof; undefined if it has none. */
	ageMs: number | undefined
	/** When the question was sent, by the clock of this gateway. */
	askedAt: number
}

export class ConfigProof {
	private provenAt = Number.NEGATIVE_INFINITY
	/** Of a version that this gateway doesn't have yet. */
	private pending: {version: number; provenAt: number} | undefined

	getAgeMs(now: number): number {
		return now - this.provenAt
	}

	/**
	 * Records a successful read of the store, once what it returned is in force. The
	 * answer may have been under way for long, so it proves the time at which the read
	 * was sent.
	 */
	applyRead(sentAt: number): void {
		this.provenAt = Math.max(this.provenAt, sentAt)
	}

	/**
	 * Records an answer of another gateway, which may arrive late. Its age was stated
	 * after the question was sent, so its proof is of `askedAt - ageMs` or later.
	 * Returns whether it is proof for the version in force, newer than known or not.
	 */
	applyConfirmation(
		{version, ageMs, askedAt}: Confirmation,
		knownVersion: number
	): boolean {
		if (ageMs === undefined) return false
		const provenAt = askedAt - Math.max(0, ageMs)
		if (version <= knownVersion) {
			this.applyRead(provenAt)
			return true
		}
		this.pending = {version, provenAt}
		return false
	}

	/** Uses the proof of a later version once that, or a still later one, is in force. */
	applyVersion(version: number): void {
		if (this.pending === undefined || this.pending.version > version) return
		this.applyRead(this.pending.provenAt)
		this.pending = undefined
	}
}
