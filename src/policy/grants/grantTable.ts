/** The requests that were granted and have not ended, and what they take up. */
import type {EngineReport, GrantRequest} from "./types.js"

export interface Granted {
	request: GrantRequest
	grantedAt: number
	/** Prompt tokens that the engine had to read when it was granted. */
	unread: number
	isStarted: boolean
	/** Set once the gateway that asked is gone; its run may go on. */
	orphanedAt?: number
}

/** A gateway sends at once and gives up on a connection within 400 ms: after
 * this time a report lists every request that still reached the engine. */
const orphanGraceMs = 600

export class GrantTable {
	private readonly granted = new Map<string, Granted>()
	private unread = 0
	private memory = 0

	get size(): number {
		return this.granted.size
	}

	/** Prompt tokens given out and not read yet. */
	get unreadTokens(): number {
		return this.unread
	}

	/** Tokens of the engine's memory that the requests may take. */
	get memoryTokens(): number {
		return this.memory
	}

	has(key: string): boolean {
		return this.granted.has(key)
	}

	get(key: string): Granted | undefined {
		return this.granted.get(key)
	}

	add(request: GrantRequest, unread: number, now: number): void {
		this.granted.set(request.key, {
			request,
			grantedAt: now,
			unread,
			isStarted: false
		})
		this.unread += unread
		this.memory += countTokens(request)
	}

	/** The engine has read the prompt; undefined if that is known already. */
	start(key: string): Granted | undefined {
		const granted = this.granted.get(key)
		if (granted === undefined || granted.isStarted) return undefined
		granted.isStarted = true
		this.unread -= granted.unread
		return granted
	}

	remove(key: string): Granted | undefined {
		const granted = this.granted.get(key)
		if (granted === undefined) return undefined
		this.granted.delete(key)
		if (!granted.isStarted) this.unread -= granted.unread
		this.memory -= countTokens(granted.request)
		return granted
	}

	listOf(owner: string): string[] {
		return [...this.granted.values()]
			.filter(({request}) => request.owner === owner)
			.map(({request}) => request.key)
	}

	/** Keeps what the run of a lost gateway uses until a report settles it. */
	orphan(key: string, now: number): void {
		const granted = this.granted.get(key)
		if (granted !== undefined) granted.orphanedAt = now
	}

	/** Requests of lost gateways that the engine does not run any more. */
	listEndedOrphans({runIds}: EngineReport, now: number): string[] {
		const running = new Set(runIds)
		const ended: string[] = []
		for (const {request, orphanedAt} of this.granted.values()) {
			if (orphanedAt === undefined) continue
			const isSettled =
				runIds !== undefined &&
				now > orphanedAt + orphanGraceMs &&
				!running.has(request.requestId)
			if (isSettled || now > request.deadline + orphanGraceMs) {
				ended.push(request.key)
			}
		}
		return ended
	}

	get hasOrphans(): boolean {
		for (const {orphanedAt} of this.granted.values()) {
			if (orphanedAt !== undefined) return true
		}
		return false
	}

	clear(): void {
		this.granted.clear()
		this.unread = 0
		this.memory = 0
	}

	/** Runs of a predecessor's grants, or of a gateway that fell silent. */
	countUnknownRuns({running, runIds}: EngineReport): number {
		if (runIds === undefined) return Math.max(0, running - this.granted.size)
		const known = new Set<string>()
		for (const {request} of this.granted.values()) known.add(request.requestId)
		return runIds.filter(id => !known.has(id)).length
	}
}

export function countTokens(request: GrantRequest): number {
	return request.promptTokens + request.outputTokens
}
