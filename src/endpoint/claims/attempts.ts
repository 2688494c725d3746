/** The attempts whose callers wait for a result, by their numeric id. */
import {Step} from "../../contract/errors.js"
import {
	type StoredCallResult,
	SendEnd,
	type SendOutcome
} from "../../policy/claimTypes.js"
import {messageOf} from "../../utils/common.js"
import {toSendOutcome} from "./answers.js"
import type {Send} from "./types.js"

interface Attempt {
	send: Send
	resolve: (result: StoredCallResult) => void
}

export class PendingAttempts {
	private readonly pending = new Map<number, Attempt>()
	private lastId = 0

	/** Calls `start` with a new attempt id; resolves when `end` gets that id. */
	begin(send: Send, start: (id: number) => void): Promise<StoredCallResult> {
		this.lastId += 1
		const id = this.lastId
		return new Promise(resolve => {
			this.pending.set(id, {send, resolve})
			start(id)
		})
	}

	/** Sends an attempt's call. A rejection becomes an unknown outcome. */
	async send(id: number): Promise<SendOutcome> {
		const attempt = this.pending.get(id)
		if (attempt === undefined) {
			const detail = "the attempt ended before it was sent"
			return {end: SendEnd.NotStarted, detail, retryAfterMs: 0}
		}
		try {
			return toSendOutcome(await attempt.send())
		} catch (err) {
			return {end: SendEnd.Unknown, step: Step.Send, detail: messageOf(err)}
		}
	}

	end(id: number, result: StoredCallResult): void {
		const attempt = this.pending.get(id)
		this.pending.delete(id)
		attempt?.resolve(result)
	}
}
