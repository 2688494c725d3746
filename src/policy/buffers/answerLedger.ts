/**
 * Counts what answers that are read at once hold in memory, and decides which of them
 * are read on when that is more than they may hold together.
 */

export interface AnswerBounds {
	/** Bytes of all answers together. */
	maxBytes: number
	/** Bytes up to which an answer never waits for others. */
	smallBytes: number
}

/** Of one answer, or of all answers that one result is made of. */
export class AnswerAccount {
	bytes = 0
}

export class AnswerLedger {
	/** In the order in which they were opened. */
	private readonly accounts = new Set<AnswerAccount>()
	private total = 0

	constructor(private readonly bounds: AnswerBounds) {}

	get totalBytes(): number {
		return this.total
	}

	open(): AnswerAccount {
		const account = new AnswerAccount()
		this.accounts.add(account)
		return account
	}

	/** Adds bytes, or removes them if negative. */
	add(account: AnswerAccount, bytes: number): void {
		if (!this.accounts.has(account)) return
		account.bytes += bytes
		this.total += bytes
	}

	close(account: AnswerAccount): void {
		this.add(account, -account.bytes)
		this.accounts.delete(account)
	}

	/**
	 * Beyond the bound the first large answer is still read, as its end frees the most and
	 * answers that wait for each other would never end; and small ones are, as they
	 * must not wait for a large answer that comes slowly.
	 */
	mayGrow(account: AnswerAccount): boolean {
		const {maxBytes, smallBytes} = this.bounds
		if (account.bytes < smallBytes || this.total < maxBytes) return true
		for (const other of this.accounts)
			if (other.bytes >= smallBytes) return other === account
		return false
	}
}
