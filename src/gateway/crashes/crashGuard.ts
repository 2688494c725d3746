/**
 * Keeps requests from endpoints that they would crash: finds out whether an endpoint
 * ended while a request was unanswered, tells the other hosts, and judges each request
 * by what all hosts saw.
 */
import {
	createCrashNotice,
	createTrialNotice,
	type Notice,
	type NoticeBoard
} from "../../notices/index.js"
import {
	type CrashRecords,
	createRequestPart,
	hasSuspect,
	judgePrompt,
	listAccusedParts,
	type PromptJudgement
} from "../../policy/crashes/index.js"
import {hashString} from "../../policy/index.js"
import type {DecisionLog} from "../../program/decisionLog.js"
import type {AgentLinks} from "../links/agentLinks.js"
import type {GatewayMetrics} from "../gatewayMetrics.js"
import type {SendTarget} from "../sends/sendTarget.js"
import {findEndpointEnd} from "./endpointEnd.js"

export interface CrashGuardOptions {
	records: CrashRecords
	notices: NoticeBoard
	links: AgentLinks
	log: DecisionLog
	metrics: GatewayMetrics
	/** Host name of this gateway, the source of what it notices. */
	gateway: string
	/** Monotonic milliseconds. */
	now: () => number
}

/** What a send went to, as log lines name it. */
export enum CrashSubject {
	Engine = "engine",
	/** Of a plain service. */
	Endpoint = "endpoint"
}

/** A send that ended without an answer. */
export interface BrokenSend {
	requestId: string
	subject: CrashSubject
	target: Pick<SendTarget, "endpoint" | "engineId" | "bornAt">
	/** Names the request by its content. */
	digest: string
	sharedParts: readonly string[]
	/** Whether the head of an answer had arrived, and no event. */
	hasBegun: boolean
	/** Whether it was sent after an endpoint had ended under the same attempt. */
	isRepeat: boolean
}

/** Time in which a gateway tells the others of its trial, several times over. */
const trialSpreadMs = 50
const maxTrialSpreadMs = 5000
const maxHash = 0xffffffff

export class CrashGuard {
	private readonly listeners = new Set<() => void>()
	private accused: ReadonlySet<string> = new Set()

	constructor(private readonly options: CrashGuardOptions) {}

	judge(parts: readonly string[]): PromptJudgement {
		const {records, now} = this.options
		const {trialOffsetMs} = this
		return judgePrompt(records, parts, {now: now(), trialOffsetMs})
	}

	/** Whether some request as a whole may have crashed an endpoint. */
	get suspectsRequests(): boolean {
		return this.options.records.suspectsRequests
	}

	/** Spreads the gateways so that one has told the others before the next begins. */
	private get trialOffsetMs(): number {
		const {links, gateway} = this.options
		const windowMs = links.gatewayCount * trialSpreadMs
		const share = hashString(gateway) / maxHash
		return Math.min(maxTrialSpreadMs, windowMs) * share
	}

	/** Whether one of the parts is the best explanation of a crash. */
	hasSuspect(sharedParts: readonly string[]): boolean {
		return hasSuspect(this.options.records, sharedParts)
	}

	/** Tells all hosts that a request tries whether the parts still crash engines. */
	beginTrial(requestId: string, parts: readonly string[]): void {
		const {log, now} = this.options
		log.request("part.trial", requestId, {parts})
		const value = createTrialNotice(parts, now(), now())
		this.publish({case: "trial", value})
	}

	/** Records that an endpoint answers a request with these parts, since `at`. */
	addAnswer(parts: readonly string[], at: number): void {
		const {records, links, gateway, now} = this.options
		const reports = records.addAnswer(parts, at, now())
		if (reports.length === 0) return
		this.handleNews(gateway)
		for (const report of reports) {
			const value = createCrashNotice(report, now())
			links.announce({case: "crash", value})
		}
	}

	/**
	 * Finds out whether the endpoint of a send ended, and if so tells all hosts what it
	 * had. Returns whether it did.
	 */
	async checkCrash(send: BrokenSend): Promise<boolean> {
		const {links, log, now} = this.options
		const {requestId, target, subject, digest, hasBegun, isRepeat} = send
		// Several registrations may lead to one engine, whose crash counts once.
		const {engineId: id, bornAt} = target
		const at = now()
		const {hasEnded, shownBy} = await findEndpointEnd(links, target)
		if (!hasEnded) {
			log.request(`${subject}.notEnded`, requestId, {
				endpoint: id,
				digest,
				shownBy
			})
			return false
		}
		log.request(`${subject}.crashed`, requestId, {
			endpoint: id,
			bornAt,
			digest,
			parts: send.sharedParts,
			hasBegun,
			shownBy
		})
		const requestPart = createRequestPart(digest)
		const parts = [...send.sharedParts, requestPart]
		const report = {
			endpointId: id,
			bornAt,
			at,
			begunParts: hasBegun ? parts : [],
			waitingParts: hasBegun ? [] : parts,
			answeredParts: [],
			repeatedParts: isRepeat ? [requestPart] : []
		}
		this.publish({case: "crash", value: createCrashNotice(report, now())})
		return true
	}

	/** Calls back when suspicions have changed; returns how to end that. */
	watch(listener: () => void): () => void {
		this.listeners.add(listener)
		return () => {
			this.listeners.delete(listener)
		}
	}

	/** Called when crashes, answers or trials became known, here or at another host. */
	handleNews(source: string): void {
		const {records, log, metrics} = this.options
		const accused = new Set(listAccusedParts(records))
		for (const part of accused) {
			if (this.accused.has(part)) continue
			const [charge] = records.listCharges(part)
			log.decide("part.accused", {part, ...charge, source})
		}
		for (const part of this.accused) {
			if (!accused.has(part)) log.decide("part.cleared", {part, source})
		}
		this.accused = accused
		metrics.accusedParts.set(accused.size)
		for (const listener of [...this.listeners]) listener()
	}

	private publish(notice: Notice): void {
		const {notices, links, gateway, now} = this.options
		for (const news of notices.merge(notice, now(), gateway))
			links.announce(news)
	}
}
