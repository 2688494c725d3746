/** Whether one request may be sent to engines, by the shared parts of its prompt. */
import {PromptVerdict} from "../../policy/crashes/index.js"
import type {BrokenSend, CrashGuard, CrashSubject} from "./crashGuard.js"

export interface CrashAdmissionOptions {
	guard: CrashGuard
	subject: CrashSubject
	requestId: string
	sharedParts: readonly string[]
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
	/** Whether the request tries if accused parts still crash engines. */
	private isTrial = false
	/** Whether an engine crashed while it had the request unanswered. */
	private hasCrashed = false

	constructor(private readonly options: CrashAdmissionOptions) {}

	get sharedParts(): readonly string[] {
		return this.options.sharedParts
	}

	/** Whether the request may be sent now. If a trial is due, it becomes the trial. */
	tryAdmit(): boolean {
		const {guard, requestId, sharedParts} = this.options
		if (this.isHeld) return false
		if (this.isTrial && !this.hasCrashed) return true
		const {verdict, charged} = guard.judge(sharedParts)
		if (verdict !== PromptVerdict.Trial) return verdict === PromptVerdict.Clear
		this.isTrial = true
		guard.beginTrial(requestId, charged)
		return true
	}

	/** Whether it is not to be sent, also by what became known since it was. */
	get isTurnedAway(): boolean {
		if (this.isTrial && !this.hasCrashed) return false
		const {guard, sharedParts} = this.options
		return guard.judge(sharedParts).verdict === PromptVerdict.TurnAway
	}

	/**
	 * Whether the request may have crashed an engine. It isn't sent again until its
	 * parts have been answered elsewhere.
	 */
	get isHeld(): boolean {
		const {guard, sharedParts} = this.options
		return this.hasCrashed && guard.hasSuspect(sharedParts)
	}

	/** Time until the next trial of these parts has an outcome, with jitter. */
	get returnMs(): number {
		const {guard, sharedParts, now, random} = this.options
		const dueMs = Math.max(0, guard.judge(sharedParts).trialDueAt - now())
		return dueMs + trialOutcomeMs * (1 + random())
	}

	get leftMs(): number {
		const {deadline, now} = this.options
		return deadline - now()
	}

	/** Finds out whether the engine ended with which a send broke off. */
	async noteBreak({
		target,
		hasBegun
	}: Pick<BrokenSend, "target" | "hasBegun">): Promise<void> {
		const {guard, getDigest, ...named} = this.options
		const digest = getDigest()
		const send = {...named, target, digest, hasBegun}
		if (await guard.checkCrash(send)) this.hasCrashed = true
	}

	noteAnswer(at: number): void {
		this.options.guard.addAnswer(this.options.sharedParts, at)
	}
}
