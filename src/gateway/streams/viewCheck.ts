/**
 * Reads the endpoints anew for requests that arrived meanwhile. A gateway that is out of
 * step notices that only after some time, so an endpoint that joined shortly before a
 * request is known for sure only by a read that was sent after the request arrived.
 */
import {messageOf} from "../../utils/common.js"
import type {DecisionLog} from "../../program/decisionLog.js"

export interface ViewCheckOptions {
	/** Reads all endpoints into the view; rejects if that fails. */
	readEndpoints: () => Promise<void>
	log: DecisionLog
}

type DoneHandler = (isCurrent: boolean) => void

/** A call to the store; it takes 250 ms when the store is slow. */
const readTimeoutMs = 900

export class ViewCheck {
	private isReading = false
	/** Who needs a read that has yet to be sent. */
	private waiting: DoneHandler[] = []

	constructor(private readonly options: ViewCheckOptions) {}

	/** Calls back once, with whether all that joined before this call is known. */
	run(onDone: DoneHandler): void {
		this.waiting.push(onDone)
		this.readNext()
	}

	/** Starts a read for those that wait, unless one is running. */
	private readNext(): void {
		if (this.waiting.length > 0 && !this.isReading) this.read()
	}

	private read(): void {
		const served = this.waiting
		this.waiting = []
		this.isReading = true
		let isOpen = true
		const end = (isCurrent: boolean): void => {
			if (!isOpen) return
			isOpen = false
			clearTimeout(timer)
			this.isReading = false
			for (const onDone of served) onDone(isCurrent)
			this.readNext()
		}
		const fail = (reason: string): void => {
			if (isOpen) this.options.log.decide("endpoints.unconfirmed", {reason})
			end(false)
		}
		const timer = setTimeout(() => {
			fail("no answer in time")
		}, readTimeoutMs)
		this.options.readEndpoints().then(
			() => {
				end(true)
			},
			(err: unknown) => {
				fail(messageOf(err))
			}
		)
	}
}
