/** The requests that were granted and have not ended, and what they take up. */
import type {EngineReport, GrantRequest} from "./types.js"

export interface Granted {
	request: GrantRequest
	grantedAt: number
	/** Prompt tokens that the engine had to read when it was granted. */
	unread: number
	isStarted: boolean
}

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
