/**
 * What an engine still has to do for the requests that were granted: tokens that
 * their answers still have, the time in which it produces one, and the rate at which
 * their memory becomes free. Counts only requests whose output was predicted, and
 * corrects a prediction while its answer runs longer.
 */
import {getRemainingTokens} from "../costs/index.js"
import type {GrantRequest} from "./types.js"

/** What gateways are told; all 0 while nothing was predicted. */
export interface RemainingWorkView {
	/** Sum, over the granted requests, of the time that their answers still take. */
	decodeMs: number
	/** Time in which an answer goes on by one token; 0 if unknown. */
	tokenMs: number
	/** Memory that is not reserved for granted and waiting requests; may be negative. */
	freeMemoryTokens: number
	/** Rate at which reserved memory becomes free. */
	freedTokensPerMs: number
	/** Seats that no granted or waiting request takes; may be negative. */
	freeSeats: number
}

export interface EngineCapacity {
	seats: number
	memoryTokens: number
}

interface Run {
	expectedTokens: number
	maxTokens: number
	memoryTokens: number
	/** Time of the first event; undefined before it. */
	startedAt: number | undefined
}

/** Weight of the newest answer in the time for a token. */
const sampleWeight = 0.1
/** Shorter answers tell little of the time for a token. */
const minSampleTokens = 5

export class RemainingWork {
	private readonly runs = new Map<string, Run>()
	private tokenTimeMs = 0

	add({key, ...request}: GrantRequest): void {
		const {expectedOutputTokens: expectedTokens = 0, outputTokens} = request
		if (expectedTokens <= 0) return
		this.runs.set(key, {
			expectedTokens,
			maxTokens: outputTokens,
			memoryTokens: request.promptTokens + expectedTokens,
			startedAt: undefined
		})
	}

	start(key: string, now: number): void {
		const run = this.runs.get(key)
		if (run !== undefined) run.startedAt ??= now
	}

	/** Removes a request; its time tells the engine's speed if it ran to its end. */
	end(key: string, now: number, isWhole: boolean): void {
		const run = this.runs.get(key)
		this.runs.delete(key)
		if (!isWhole || run?.startedAt === undefined) return
		const {expectedTokens, startedAt} = run
		if (expectedTokens < minSampleTokens) return
		const sample = (now - startedAt) / expectedTokens
		if (this.tokenTimeMs === 0) this.tokenTimeMs = sample
		else this.tokenTimeMs += sampleWeight * (sample - this.tokenTimeMs)
	}

	/** Forgets the requests of an engine that restarted. */
	clear(): void {
		this.runs.clear()
	}

	/**
	 * `waiting` are the requests that have no grant yet, `running` is the number of
	 * those that have, and `reservedTokens` their memory.
	 */
	getView(
		capacity: EngineCapacity | undefined,
		waiting: readonly GrantRequest[],
		{running, reservedTokens}: {running: number; reservedTokens: number},
		now: number
	): RemainingWorkView {
		if (capacity === undefined || this.tokenTimeMs === 0) return noWork
		let decodeMs = 0
		let freedTokensPerMs = 0
		for (const run of this.runs.values()) {
			const leftMs = this.getRemainingMs(run, now)
			decodeMs += leftMs
			freedTokensPerMs += run.memoryTokens / leftMs
		}
		const claimedTokens = waiting.reduce(
			(sum, {promptTokens, outputTokens}) => sum + promptTokens + outputTokens,
			reservedTokens
		)
		return {
			decodeMs,
			tokenMs: this.tokenTimeMs,
			freeMemoryTokens: capacity.memoryTokens - claimedTokens,
			freedTokensPerMs,
			freeSeats: capacity.seats - running - waiting.length
		}
	}

	private getRemainingMs(run: Run, now: number): number {
		const {expectedTokens, maxTokens, startedAt = now} = run
		const producedTokens = (now - startedAt) / this.tokenTimeMs
		const left = getRemainingTokens({
			expectedTokens,
			producedTokens,
			maxTokens: Math.max(maxTokens, expectedTokens)
		})
		return left * this.tokenTimeMs
	}
}

export const noWork: RemainingWorkView = {
	decodeMs: 0,
	tokenMs: 0,
	freeMemoryTokens: 0,
	freedTokensPerMs: 0,
	freeSeats: 0
}
