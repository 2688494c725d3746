/**
 * The open sends of one generation: the one whose events the caller receives and,
 * while that is silent, one to another engine that may go on in its place.
 */
import type {GenerationSend} from "./generationSend.js"

export class SendPair {
	private currentSend: GenerationSend | undefined
	private standbySend: GenerationSend | undefined

	get current(): GenerationSend | undefined {
		return this.currentSend
	}

	get hasStandby(): boolean {
		return this.standbySend !== undefined
	}

	/** Whether one of the sends may have reached its engine. */
	get wasSent(): boolean {
		return this.list().some(send => send.wasSent)
	}

	add(send: GenerationSend): void {
		if (this.currentSend === undefined) this.currentSend = send
		else this.standbySend = send
	}

	/** Removes a send that ended. Returns whether it was the standby. */
	remove(send: GenerationSend): boolean {
		if (send === this.standbySend) {
			this.standbySend = undefined
			return true
		}
		if (send === this.currentSend) this.promoteStandby()
		return false
	}

	/** Goes on with the standby, which has delivered an event. */
	takeOver(): void {
		const silent = this.currentSend
		this.promoteStandby()
		silent?.abort()
	}

	/** Cancels the standby: the engine of the current send has gone on. */
	dropStandby(): void {
		const standby = this.standbySend
		this.standbySend = undefined
		standby?.abort()
	}

	/** Cancels the sends that have delivered no event. */
	dropUnanswered(): void {
		const sends = this.list()
		const [current, standby] = sends.filter(send => !send.isUnanswered)
		this.currentSend = current
		this.standbySend = standby
		for (const send of sends) if (send.isUnanswered) send.abort()
	}

	dropAll(): void {
		// The end of the current send would make the standby the current one.
		const sends = this.list()
		this.currentSend = undefined
		this.standbySend = undefined
		for (const send of sends) send.abort()
	}

	private promoteStandby(): void {
		this.currentSend = this.standbySend
		this.standbySend = undefined
	}

	private list(): GenerationSend[] {
		const sends = [this.currentSend, this.standbySend]
		return sends.filter(send => send !== undefined)
	}
}
