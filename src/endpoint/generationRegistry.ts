/**
 * The generations of one endpoint process. Those that wait or run are found by
 * id. For resuming streams, the latest one of each Member and request id is
 * found too, even for a while after it ended.
 */
import type {RunRequest} from "../contract/gen/link_pb.js"
import {type Generation, GenerationState} from "./generation.js"

export class GenerationRegistry {
	private readonly active = new Map<string, Generation>()
	private readonly byRequest = new Map<string, Generation>()
	private idleWaiters: (() => void)[] = []

	/** `finishedRetentionMs` is how long an ended generation can be resumed. */
	constructor(private readonly finishedRetentionMs: number) {}

	add(generation: Generation): void {
		this.active.set(generation.draft.id, generation)
		this.byRequest.set(createRequestKey(generation.req), generation)
	}

	/** Finds a generation that waits or runs. */
	get(id: string): Generation | undefined {
		return this.active.get(id)
	}

	/** Finds the generation whose stream a request resumes. */
	findStream(req: RunRequest): Generation | undefined {
		return this.byRequest.get(createRequestKey(req))
	}

	listActive(): Generation[] {
		return [...this.active.values()]
	}

	listWaiting(): Generation[] {
		return this.listActive().filter(
			({state}) => state === GenerationState.Waiting
		)
	}

	/** Removes a generation; its stream can't be resumed after that. */
	remove(generation: Generation): void {
		this.removeActive(generation)
		const key = createRequestKey(generation.req)
		if (this.byRequest.get(key) === generation) this.byRequest.delete(key)
	}

	/**
	 * Removes an ended generation from the active ones at once. Its stream can be
	 * resumed until `finishedRetentionMs` has passed.
	 */
	removeAfterRetention(generation: Generation): void {
		this.removeActive(generation)
		setTimeout(() => {
			this.remove(generation)
		}, this.finishedRetentionMs).unref()
	}

	/** Resolves when no generation waits or runs. */
	async waitUntilIdle(): Promise<void> {
		if (this.active.size === 0) return
		await new Promise<void>(resolve => this.idleWaiters.push(resolve))
	}

	private removeActive(generation: Generation): void {
		this.active.delete(generation.draft.id)
		if (this.active.size > 0) return
		const waiters = this.idleWaiters
		this.idleWaiters = []
		for (const resolve of waiters) resolve()
	}
}

/** The key includes the Member, so that no other Member can resume a stream. */
function createRequestKey(req: RunRequest): string {
	return JSON.stringify([req.member, req.requestId])
}
