/**
 * Counts what a process holds in memory for its callers, and decides whose request
 * ends when that exceeds the process's bound.
 */
import {WaitingBytes} from "./waitingBytes.js"

/** Why bytes of a request are held. */
export enum BufferPart {
	/** The caller has not sent its whole body yet. */
	Upload = "upload",
	/** The body is to be sent to endpoints, perhaps more than once. */
	Request = "request",
	/** An endpoint has not sent its whole answer or event yet. */
	Answer = "answer",
	/** The caller has not read them. */
	Output = "output"
}

export interface BufferBounds {
	/** Bytes of all requests together. */
	maxBytes: number
	/** A caller with bytes that waited for less than this is not called slow. */
	minWaitMs?: number
}

/** The request that is to end, and the bytes for which it was chosen. */
export interface BufferOverflow {
	account: BufferAccount
	part: BufferPart
	bytes: number
	waitedMs: number
}

/** Longer than a healthy caller needs over a link between failure domains. */
const defaultMinWaitMs = 500
/**
 * Share of the bound down to which requests end, so that a process at its bound does
 * not go through all requests with each chunk that arrives.
 */
const reliefShare = 0.9
/**
 * Share of the bound that a caller must keep waiting to be ended for it: the end of
 * many callers with a few events each would free little while an endpoint holds up
 * large bodies.
 */
const minSlowShare = 0.001
/** What the caller itself keeps waiting. */
const callerParts = [BufferPart.Output, BufferPart.Upload]
const allParts = [...callerParts, BufferPart.Request, BufferPart.Answer]

export class BufferAccount {
	private readonly parts = new Map<BufferPart, WaitingBytes>()

	constructor(private readonly addToTotal: (bytes: number) => void) {}

	getBytes(part: BufferPart): number {
		return this.parts.get(part)?.bytes ?? 0
	}

	getWaitedMs(part: BufferPart, now: number): number {
		return this.parts.get(part)?.getWaitedMs(now) ?? 0
	}

	add(part: BufferPart, bytes: number, now: number): void {
		let waiting = this.parts.get(part)
		if (waiting === undefined) {
			waiting = new WaitingBytes()
			this.parts.set(part, waiting)
		}
		waiting.add(bytes, now)
		this.addToTotal(Math.max(0, bytes))
	}

	/** Removes at most what is there. */
	remove(part: BufferPart, bytes: number): void {
		const removed = Math.min(bytes, this.getBytes(part))
		this.parts.get(part)?.remove(removed)
		this.addToTotal(-removed)
	}

	clear(part: BufferPart): void {
		this.remove(part, this.getBytes(part))
	}
}

export class BufferLedger {
	private readonly accounts = new Set<BufferAccount>()
	private readonly maxBytes: number
	private readonly minWaitMs: number
	private total = 0

	constructor({maxBytes, minWaitMs = defaultMinWaitMs}: BufferBounds) {
		this.maxBytes = maxBytes
		this.minWaitMs = minWaitMs
	}

	get totalBytes(): number {
		return this.total
	}

	get isOver(): boolean {
		return this.total > this.maxBytes
	}

	/** Whether more requests have to end, once the bound was exceeded. */
	get needsRelief(): boolean {
		return this.total > this.maxBytes * reliefShare
	}

	open(): BufferAccount {
		const account = new BufferAccount(bytes => {
			this.total += bytes
		})
		this.accounts.add(account)
		return account
	}

	close(account: BufferAccount): void {
		for (const part of allParts) account.clear(part)
		this.accounts.delete(account)
	}

	/**
	 * Chooses the request that ends next. Slow callers go before requests that wait for
	 * an endpoint, since those can't be helped by their callers. Among equals it is the
	 * one with the most bytes times the time that its first byte has waited, so that
	 * neither a few old bytes nor a large answer that has just arrived decide alone.
	 */
	choose(now: number): BufferOverflow | undefined {
		const slow = {
			minWaitMs: this.minWaitMs,
			minBytes: this.maxBytes * minSlowShare
		}
		return (
			this.findCostliest(callerParts, slow, now) ??
			this.findCostliest(allParts, {minWaitMs: 0, minBytes: 1}, now)
		)
	}

	private findCostliest(
		parts: readonly BufferPart[],
		{minWaitMs, minBytes}: {minWaitMs: number; minBytes: number},
		now: number
	): BufferOverflow | undefined {
		let found: BufferOverflow | undefined
		let highest = -1
		for (const account of this.accounts) {
			for (const part of parts) {
				const bytes = account.getBytes(part)
				const waitedMs = account.getWaitedMs(part, now)
				// Of those that have only just come, the largest.
				const cost = bytes * Math.max(1, waitedMs)
				if (bytes < minBytes || waitedMs < minWaitMs) continue
				if (cost <= highest) continue
				highest = cost
				found = {account, part, bytes, waitedMs}
			}
		}
		return found
	}
}
