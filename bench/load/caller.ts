/** Sends planned calls to entries as callers do, and judges the answers. */
import {type Agent, request} from "undici"
import {expectedText} from "../../standins/index.js"
import {messageOf} from "../../src/utils/common.js"
import {CallType, type PlannedCall} from "./plan.js"
import {readStream, type StreamAnswer} from "./stream.js"

/** How a call ended for its caller. */
export enum CallEnd {
	/** Whole, verified and within its window. */
	Answered = "answered",
	/** Whole and verified, after its window. */
	Late = "late",
	NotRun = "notRun",
	Unknown = "unknown",
	/** The connection or the stream ended early. */
	Cut = "cut",
	/** Refused as malformed. */
	Rejected = "rejected",
	/** Complete, but not the text of the adapter named. */
	Wrong = "wrong"
}

export interface CallResult {
	end: CallEnd
	/** Reason as the entry gave it, or what was wrong. */
	reason: string
	/** From arrival to the whole answer. */
	elapsedMs: number
	loadStallMs?: number
	firstTokenMs?: number
	tokenGapsMs?: number[]
	tokens?: number
	/** Sends in all, for keyed calls that were repeated. */
	sends: number
}

export interface CallerOptions {
	agent: Agent
	/** Base URLs of the entries. */
	entryUrls: readonly string[]
	/** Entries that are not ready are tried last. */
	isReady?: (url: string) => boolean
	clock?: () => number
}

interface HttpAnswer {
	status: number
	headers: Record<string, string | string[] | undefined>
	text: string
	stream: StreamAnswer | undefined
}

type Judgement = Omit<CallResult, "elapsedMs" | "sends">

const graceMs = 2000
const maxSends = 3
const connectErrors = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT"])

/** One sending of a call. */
interface Sending {
	deadline: number
	/** True when the call's key was not sent before. */
	isFirst: boolean
}

export class Caller {
	private next = 0

	constructor(private readonly options: CallerOptions) {}

	/**
	 * Sends a call. A keyed call with an unknown end is sent again with the
	 * same key while its window lasts, as a careful caller does.
	 */
	async send(call: PlannedCall): Promise<CallResult> {
		const startedAt = this.now()
		const deadline = startedAt + call.kind.windowMs
		let sends = 0
		let judgement: Judgement
		do {
			sends += 1
			judgement = await this.sendOnce(call, startedAt, {
				deadline,
				isFirst: sends === 1
			})
		} while (
			isRepeatable(call, judgement) &&
			sends < maxSends &&
			this.now() < deadline
		)
		const elapsedMs = this.now() - startedAt
		const isLate = elapsedMs > call.kind.windowMs
		if (judgement.end === CallEnd.Answered && isLate) {
			judgement.end = CallEnd.Late
		}
		return {...judgement, elapsedMs, sends}
	}

	private async sendOnce(
		call: PlannedCall,
		startedAt: number,
		sending: Sending
	): Promise<Judgement> {
		try {
			const answer = await this.sendToOpenEntry(call, sending)
			return judge(call, answer, startedAt)
		} catch (err) {
			return {end: CallEnd.Cut, reason: codeOf(err)}
		}
	}

	/** Like a balancer, passes over entries that accept no connection. */
	private async sendToOpenEntry(
		call: PlannedCall,
		sending: Sending
	): Promise<HttpAnswer> {
		let failure: unknown
		for (const url of this.rotateEntries()) {
			try {
				return await this.sendTo(url, call, sending)
			} catch (err) {
				if (!connectErrors.has(codeOf(err))) throw err
				failure = err
			}
		}
		throw failure
	}

	private async sendTo(
		entryUrl: string,
		call: PlannedCall,
		sending: Sending
	): Promise<HttpAnswer> {
		const {kind} = call
		const isDraft = kind.type === CallType.Draft
		const path = isDraft ? "/v1/completions" : servicePath(call)
		const timeoutMs = Math.max(1, sending.deadline - this.now()) + graceMs
		const signal = AbortSignal.timeout(timeoutMs)
		const res = await request(entryUrl + path, {
			method: kind.type === CallType.Status ? "GET" : "POST",
			dispatcher: this.options.agent,
			headers: headersOf(call, sending),
			body: bodyOf(call),
			headersTimeout: timeoutMs,
			bodyTimeout: timeoutMs,
			signal
		})
		const {statusCode: status, headers, body} = res
		if (isDraft && status === 200) {
			const stream = await readStream(body, () => this.now())
			return {status, headers, text: "", stream}
		}
		return {status, headers, text: await body.text(), stream: undefined}
	}

	/** The entries from the next one in turn, those that are ready first. */
	private rotateEntries(): string[] {
		const {entryUrls, isReady = () => true} = this.options
		const first = this.next++ % entryUrls.length
		const urls = [...entryUrls.slice(first), ...entryUrls.slice(0, first)]
		const ready = urls.filter(url => isReady(url))
		return [...ready, ...urls.filter(url => !isReady(url))]
	}

	private now(): number {
		return (this.options.clock ?? Date.now)()
	}
}

function servicePath({kind, id}: PlannedCall): string {
	const path = kind.path.replace(":id", encodeURIComponent(`order-${id}`))
	return `/v1/services/${path.replace(/^\//, "")}`
}

function headersOf(
	{kind, member, id}: PlannedCall,
	{deadline, isFirst}: Sending
): Record<string, string> {
	const headers: Record<string, string> = {
		"content-type": "application/json",
		"x-member": member,
		"x-deadline": String(Math.round(deadline)),
		"x-request-id": id
	}
	if (kind.type === CallType.Draft) headers["x-route"] = kind.route
	if (kind.type === CallType.Submission) {
		headers["idempotency-key"] = `key-${id}`
		headers["x-first-attempt"] = String(isFirst)
	}
	return headers
}

function bodyOf({
	kind,
	model,
	prompt,
	maxTokens,
	id
}: PlannedCall): string | null {
	if (kind.type === CallType.Status) return null
	if (kind.type === CallType.Submission) {
		return JSON.stringify({order: `order-${id}`})
	}
	return JSON.stringify({
		model: model.model,
		prompt,
		max_tokens: maxTokens,
		stream: true
	})
}

function isRepeatable(call: PlannedCall, {end}: Judgement): boolean {
	if (call.kind.type !== CallType.Submission) return false
	return end === CallEnd.Unknown || end === CallEnd.Cut
}

function judge(
	call: PlannedCall,
	{status, headers, text, stream}: HttpAnswer,
	startedAt: number
): Judgement {
	if (status !== 200) return judgeRefusal(status, text)
	if (stream !== undefined) return judgeStream(call, stream, startedAt)
	if (!isServiceAnswer(call, text)) {
		return {end: CallEnd.Wrong, reason: text.slice(0, 80)}
	}
	const stall = Number(headers["x-load-stall-ms"] ?? NaN)
	const answered = {end: CallEnd.Answered, reason: ""}
	return Number.isNaN(stall) ? answered : {...answered, loadStallMs: stall}
}

const endByStatus = new Map([
	[429, CallEnd.NotRun],
	[503, CallEnd.NotRun],
	[502, CallEnd.Unknown],
	[504, CallEnd.Unknown]
])

function judgeRefusal(status: number, text: string): Judgement {
	const end = endByStatus.get(status) ?? CallEnd.Rejected
	return {end, reason: readReason(text) ?? `status ${status}`}
}

function judgeStream(
	call: PlannedCall,
	stream: StreamAnswer,
	startedAt: number
): Judgement {
	if (stream.error !== undefined) {
		const {outcome, reason, message = ""} = stream.error
		const end = outcome === "not_run" ? CallEnd.NotRun : CallEnd.Unknown
		return {end, reason: `stream: ${reason ?? message}`}
	}
	if (!stream.isDone) return {end: CallEnd.Cut, reason: "no terminal event"}
	const expected = expectedText(call.model.source, call.prompt, call.maxTokens)
	if (stream.text !== expected) {
		return {end: CallEnd.Wrong, reason: describeDifference(stream, expected)}
	}
	const [first] = stream.textTimes
	return {
		end: CallEnd.Answered,
		reason: "",
		loadStallMs: stream.loadStallMs,
		firstTokenMs: (first ?? startedAt) - startedAt,
		tokenGapsMs: listGaps(stream, call.maxTokens),
		tokens: call.maxTokens
	}
}

function isServiceAnswer({id, kind}: PlannedCall, text: string): boolean {
	const field = kind.type === CallType.Submission ? '"order"' : '"id"'
	return text.includes(field) && text.includes(`order-${id}`)
}

/** Time between tokens; tokens that came together share their gap. */
function listGaps({textTimes}: StreamAnswer, tokens: number): number[] {
	const first = textTimes[0] ?? 0
	const last = textTimes.at(-1) ?? 0
	return tokens < 2 ? [] : [(last - first) / (tokens - 1)]
}

function describeDifference({text}: StreamAnswer, expected: string): string {
	let index = 0
	while (index < text.length && text[index] === expected[index]) index += 1
	return `text differs at ${index} of ${expected.length}, got ${text.length}`
}

function readReason(text: string): string | undefined {
	try {
		const body = JSON.parse(text) as {
			error?: {reason?: string; message?: string}
		}
		return body.error?.reason ?? body.error?.message
	} catch {
		return undefined
	}
}

function codeOf(err: unknown): string {
	const {code, name} = err as {code?: unknown; name?: unknown}
	if (typeof code === "string") return code
	return typeof name === "string" && name !== "Error" ? name : messageOf(err)
}
