/**
 * The generations of one endpoint process: those under way by id, and the
 * latest of each Member's request id, so that streams can be resumed.
 */
import type {RunRequest} from "../contract/gen/link_pb.js"
import {type Generation, GenerationState} from "./generation.js"

export class GenerationRegistry {
	private readonly active = new Map<string, Generation>()
	private readonly byRequest = new Map<string, Generation>()
	private idleWaiters: (() => void)[] = []

	/** `keepFinishedMs` is how long a finished answer can be read again. */
	constructor(private readonly keepFinishedMs: number) {}

	add(generation: Generation): void {
		this.active.set(generation.draft.id, generation)
		this.byRequest.set(requestKey(generation.req), generation)
	}

	/** A generation that has not ended. */
	get(id: string): Generation | undefined {
		return this.active.get(id)
	}

	/** The generation that a resumed request belongs to. */
	findStream(req: RunRequest): Generation | undefined {
		return this.byRequest.get(requestKey(req))
	}

	listActive(): Generation[] {
		return [...this.active.values()]
	}

	listWaiting(): Generation[] {
		return this.listActive().filter(
			({state}) => state === GenerationState.Waiting
		)
	}

	/** Ends the account of a generation whose answer nobody needs again. */
	forget(generation: Generation): void {
		this.finish(generation)
		const key = requestKey(generation.req)
		if (this.byRequest.get(key) === generation) this.byRequest.delete(key)
	}

	/** The same, after its answer was held for a while. */
	forgetLater(generation: Generation): void {
		this.finish(generation)
		setTimeout(() => {
			this.forget(generation)
		}, this.keepFinishedMs).unref()
	}

	/** Resolves when no generation is under way. */
	async waitIdle(): Promise<void> {
		if (this.active.size === 0) return
		await new Promise<void>(resolve => this.idleWaiters.push(resolve))
	}

	private finish(generation: Generation): void {
		this.active.delete(generation.draft.id)
		if (this.active.size > 0) return
		const waiters = this.idleWaiters
		this.idleWaiters = []
		for (const resolve of waiters) resolve()
	}
}

/** A stream is known by its Member as well, so that no other can resume it. */
function requestKey(req: RunRequest): string {
	return JSON.stringify([req.member, req.requestId])
}
