/** Has answers wait for each other when they hold more memory together than they may. */
import {
	type AnswerAccount,
	type AnswerBounds,
	AnswerLedger
} from "../policy/buffers/index.js"

/** Memory of the answers that are read at once. */
export class AnswerMemory {
	private readonly ledger: AnswerLedger
	private readonly waiting = new Map<AnswerAccount, () => void>()

	constructor(bounds: AnswerBounds) {
		this.ledger = new AnswerLedger(bounds)
	}

	get totalBytes(): number {
		return this.ledger.totalBytes
	}

	open(): AnswerAccount {
		return this.ledger.open()
	}

	/** Adds bytes that an answer holds, or removes them if negative. */
	add(account: AnswerAccount, bytes: number): void {
		this.ledger.add(account, bytes)
		if (bytes < 0) this.wake()
	}

	mayGrow(account: AnswerAccount): boolean {
		return this.ledger.mayGrow(account)
	}

	/** Calls back once, when the answer may be read on, which it now may not. */
	awaitTurn(account: AnswerAccount, readOn: () => void): void {
		this.waiting.set(account, readOn)
	}

	stopWaiting(account: AnswerAccount): void {
		this.waiting.delete(account)
	}

	close(account: AnswerAccount): void {
		this.waiting.delete(account)
		this.ledger.close(account)
		this.wake()
	}

	private wake(): void {
		for (const [account, readOn] of [...this.waiting]) {
			if (!this.ledger.mayGrow(account)) continue
			this.waiting.delete(account)
			readOn()
		}
	}
}
