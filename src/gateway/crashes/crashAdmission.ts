/**
 * Whether one request may be sent to endpoints, by the crashes that it may have caused
 * as a whole or by a shared part of its prompt.
 */
import {createRequestPart, PromptVerdict} from "../../policy/crashes/index.js"
import type {BrokenSend, CrashGuard, CrashSubject} from "./crashGuard.js"

export interface CrashAdmissionOptions {
	guard: CrashGuard
	subject: CrashSubject
	requestId: string
	/** Parts of its prompt that others may have; none at a plain service. */
	sharedParts: readonly string[]
	/** Names the request by its content. */
	getDigest: () => string
	/** Time at which the caller gives up. */
	deadline: number
	/** Monotonic milliseconds. */
	now: () => number
	random: () => number
}

/** A loaded engine begins an answer within this time. */
const trialOutcomeMs = 500

export class CrashAdmission {
	/** Whether the request tries if accused parts still crash endpoints. */
	private isTrial = false
	/** When an endpoint last crashed that had the request unanswered. */
	private crashedAt: number | undefined
	private digest: string | undefined

	constructor(private readonly options: CrashAdmissionOptions) {}

	get sharedParts(): readonly string[] {
		return this.options.sharedParts
	}

	private getDigest(): string {
		this.digest ??= this.options.getDigest()
		return this.digest
	}

	/** What the request is judged by; the digest of most is never needed. */
	private get judgedParts(): readonly string[] {
		const {guard, sharedParts} = this.options
		if (!guard.suspectsRequests) return sharedParts
		return [...sharedParts, createRequestPart(this.getDigest())]
	}

	/** Whether the request may be sent now. If a trial is due, it becomes the trial. */
	tryAdmit(): boolean {
		const {guard, requestId} = this.options
		if (this.isHeld) return false
		if (this.isTrial) return true
		const {verdict, charged} = guard.judge(this.judgedParts)
		if (verdict !== PromptVerdict.Trial) return verdict === PromptVerdict.Clear
		this.isTrial = true
		guard.beginTrial(requestId, charged)
		return true
	}

	/** Whether it is not to be sent, also by what became known since it was. */
	get isTurnedAway(): boolean {
		if (this.isTrial) return false
		const {verdict} = this.options.guard.judge(this.judgedParts)
		return verdict === PromptVerdict.TurnAway
	}

	/**
	 * Whether a part of it may have crashed an engine that had it. It isn't sent again
	 * until its parts have been answered elsewhere.
	 */
	get isHeld(): boolean {
		const {guard, sharedParts} = this.options
		return this.crashedAt !== undefined && guard.hasSuspect(sharedParts)
	}

	/**
	 * Time until the next trial has an outcome, with jitter; infinite if there is to be
	 * none.
	 */
	get returnMs(): number {
		const {guard, now, random} = this.options
		const {trialDueAt} = guard.judge(this.judgedParts)
		const dueMs = Math.max(0, trialDueAt - now())
		return dueMs + trialOutcomeMs * (1 + random())
	}

	get leftMs(): number {
		const {deadline, now} = this.options
		return deadline - now()
	}

	/** Finds out whether the endpoint ended with which a send broke off. */
	async noteBreak({
		target,
		hasBegun,
		sentAt
	}: Pick<BrokenSend, "target" | "hasBegun"> & {
		sentAt: number
	}): Promise<void> {
		const {guard, subject, requestId, sharedParts, now} = this.options
		const at = now()
		const isRepeat = this.crashedAt !== undefined && sentAt >= this.crashedAt
		const hasCrashed = await guard.checkCrash({
			requestId,
			subject,
			target,
			digest: this.getDigest(),
			sharedParts,
			hasBegun,
			isRepeat
		})
		if (!hasCrashed) return
		this.crashedAt = at
		this.isTrial = false
	}

	noteAnswer(at: number): void {
		this.options.guard.addAnswer(this.judgedParts, at)
	}
}
