/**
 * Bounds what the process holds in memory for its callers. When the bound is
 * exceeded, the requests that `BufferLedger` chooses end.
 */
import {
	AnswerTurns,
	type BufferAccount,
	BufferLedger,
	type BufferOverflow,
	BufferPart
} from "../../policy/buffers/index.js"
import type {GatewayMetrics} from "../gatewayMetrics.js"
import {AnswerHold, type AnswerSource} from "./answerHold.js"

export interface CallerBuffersOptions {
	/** Bytes held for all callers together. */
	maxProcessBytes?: number | undefined
	/** Bytes that wait for one caller beyond which its engine is not read. */
	maxStreamBytes?: number | undefined
	metrics: GatewayMetrics
	now: () => number
}

/** A fifth of the smallest memory that a gateway is given, 250 MB. */
const defaultMaxProcessBytes = 48 * 2 ** 20
/**
 * Holds whole answers of engines, which cut off one that stays unread for some
 * seconds.
 */
const defaultMaxStreamBytes = 2 ** 20

/** Share of the process's bound that unfinished answers of one endpoint may take. */
const endpointShare = 0.25

export class CallerBuffers {
	readonly maxStreamBytes: number
	private readonly ledger: BufferLedger
	private readonly turns: AnswerTurns<AnswerHold>
	private readonly owners = new Map<BufferAccount, RequestBuffers>()
	private isReliefScheduled = false

	constructor(private readonly options: CallerBuffersOptions) {
		const {
			maxProcessBytes = defaultMaxProcessBytes,
			maxStreamBytes = defaultMaxStreamBytes
		} = options
		this.maxStreamBytes = maxStreamBytes
		this.ledger = new BufferLedger({maxBytes: maxProcessBytes})
		const maxEndpointBytes = maxProcessBytes * endpointShare
		this.turns = new AnswerTurns({maxEndpointBytes})
		options.metrics.watchBufferedBytes(() => this.totalBytes)
	}

	get totalBytes(): number {
		return this.ledger.totalBytes
	}

	/** `onOverflow` has to end the request; its buffers are released then. */
	open(onOverflow: (overflow: BufferOverflow) => void): RequestBuffers {
		const {ledger, owners} = this
		const account = ledger.open()
		const buffers = new RequestBuffers({
			account,
			turns: this.turns,
			now: this.options.now,
			onAdded: () => {
				this.scheduleRelief()
			},
			onClosed: () => {
				ledger.close(account)
				owners.delete(account)
			},
			onOverflow
		})
		owners.set(account, buffers)
		return buffers
	}

	/**
	 * Ends requests after the current callback, which may be in the midst of
	 * forwarding for one of them.
	 */
	private scheduleRelief(): void {
		if (!this.ledger.isOver || this.isReliefScheduled) return
		this.isReliefScheduled = true
		setImmediate(() => {
			this.isReliefScheduled = false
			if (this.ledger.isOver) this.relieve()
		})
	}

	private relieve(): void {
		const {ledger, owners, options, turns} = this
		while (ledger.needsRelief) {
			const answer = turns.choose(ledger.totalBytes)
			if (answer !== undefined) {
				options.metrics.countBufferOverflow(BufferPart.Answer)
				answer.end()
				continue
			}
			const overflow = ledger.choose(options.now())
			if (overflow === undefined) return
			const {account, part} = overflow
			options.metrics.countBufferOverflow(part)
			const owner = owners.get(account)
			// Closed first, so that a request is not chosen again while it ends.
			owner?.close()
			owner?.onOverflow(overflow)
		}
	}
}

interface RequestBuffersOptions {
	account: BufferAccount
	turns: AnswerTurns<AnswerHold>
	now: () => number
	onAdded: () => void
	onClosed: () => void
	onOverflow: (overflow: BufferOverflow) => void
}

/** What is held for one request. */
export class RequestBuffers {
	private holders = 1
	private isClosed = false

	constructor(private readonly options: RequestBuffersOptions) {}

	get onOverflow(): (overflow: BufferOverflow) => void {
		return this.options.onOverflow
	}

	getBytes(part: BufferPart): number {
		return this.options.account.getBytes(part)
	}

	add(part: BufferPart, bytes: number): void {
		if (this.isClosed) return
		this.options.account.add(part, bytes, this.options.now())
		this.options.onAdded()
	}

	remove(part: BufferPart, bytes: number): void {
		this.options.account.remove(part, bytes)
	}

	/** Counts the answer of a call until that has ended. */
	openAnswer(endpointId: string, getSource: () => AnswerSource): AnswerHold {
		const {turns} = this.options
		return new AnswerHold({endpointId, getSource, buffers: this, turns})
	}

	/** Counts bytes as held for another reason than before. */
	move(from: BufferPart, to: BufferPart): void {
		const bytes = this.getBytes(from)
		this.remove(from, bytes)
		this.add(to, bytes)
	}

	/** The buffers stay counted until each holder has released them. */
	hold(): void {
		this.holders += 1
	}

	release(): void {
		this.holders -= 1
		if (this.holders === 0) this.close()
	}

	/** Counts nothing from here on. */
	close(): void {
		if (this.isClosed) return
		this.isClosed = true
		this.options.onClosed()
	}
}
