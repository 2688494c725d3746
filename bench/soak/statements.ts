/**
 * Judges whether gateways heeded what workers stated in their answers: that they
 * are leaving, want no requests for a time, or take a number of requests a second
 * from all gateways together.
 */
import type {WorkerArrival} from "../../standins/fleet/index.js"
import type {CallRecord} from "./callers.js"

export interface Disturbance {
	/** `ip:port` of the gateway that was killed, stopped, frozen or started. */
	gateway: string
	at: number
}

export interface StatementEvidence {
	records: readonly CallRecord[]
	arrivals: readonly WorkerArrival[]
	disturbances: readonly Disturbance[]
	/** Times at which engines crashed for a part of a prompt. */
	deadlyCrashes: readonly number[]
}

const drainMs = 2000
const pauseNoticeMs = 500
/** Requests that may reach a worker during a pause, from one gateway. */
const maxDuringPause = 2

/** Span in which the requests to a worker with a limit are counted. */
const limitWindowMs = 4000
/** Time from the first answer with a limit until the limit is judged. */
const limitNoticeMs = 3000
/** Time from a gateway's first answer with it until the gateway's requests count. */
const limitToldMs = 500

interface Traced extends WorkerArrival {
	gateway: string
	sentAt: number
}

export function judgeStatements({
	records,
	arrivals,
	disturbances,
	deadlyCrashes
}: StatementEvidence): string[] {
	const byId = new Map(records.map(record => [record.id, record]))
	const byPair = new Map<string, Traced[]>()
	const byWorker = new Map<string, Traced[]>()
	for (const arrival of arrivals) {
		const record = byId.get(arrival.requestId)
		if (record === undefined) continue
		const {gateway, sentAt} = record
		const pair = `${gateway} ${arrival.worker}`
		const traced = {...arrival, gateway, sentAt}
		addTo(byPair, pair, traced)
		addTo(byWorker, arrival.worker, traced)
	}
	const isExcused = (gateway: string, since: number): boolean =>
		disturbances.some(one => one.gateway === gateway && one.at >= since)
	return [
		...[...byPair.values()].flatMap(traced => [
			...judgeLeaving(traced, isExcused),
			...judgePauses(traced, isExcused)
		]),
		...[...byWorker.values()].flatMap(traced =>
			judgeLimits(traced, disturbances)
		),
		...judgePrompts([...byWorker.values()].flat(), deadlyCrashes, isExcused)
	]
}

function addTo<T>(lists: Map<string, T[]>, key: string, item: T): void {
	const known = lists.get(key)
	if (known === undefined) lists.set(key, [item])
	else known.push(item)
}

/** Crashes after which a part of a prompt is known, and time from the last of them. */
const crashesUntilKnown = 5
const promptNoticeMs = 3000
/** Requests with a known part that may reach workers. */
const maxKnownDeadly = 3

function judgePrompts(
	traced: readonly Traced[],
	crashes: readonly number[],
	isExcused: IsExcused
): string[] {
	const fifthAt = crashes[crashesUntilKnown - 1]
	if (fifthAt === undefined) return []
	const late = traced.filter(
		({isDeadly, gateway, at}) =>
			isDeadly &&
			at > fifthAt + promptNoticeMs &&
			!isExcused(gateway, at - promptNoticeMs)
	)
	if (late.length <= maxKnownDeadly) return []
	const where = late.map(({gateway, requestId, at}) => {
		const afterMs = Math.round(at - fifthAt)
		return `${requestId} by ${gateway} after ${afterMs} ms`
	})
	const count = `${late.length} requests with a part that had crashed five engines`
	return [`${count}: ${where.join(", ")}`]
}

type IsExcused = (gateway: string, since: number) => boolean

function judgeLeaving(
	traced: readonly Traced[],
	isExcused: IsExcused
): string[] {
	const first = traced.find(({isLeaving}) => isLeaving)
	if (first === undefined || isExcused(first.gateway, first.at)) return []
	return traced
		.filter(({sentAt}) => sentAt > first.at + drainMs)
		.map(({requestId, worker}) => `${requestId}: sent to leaving ${worker}`)
}

function judgePauses(
	traced: readonly Traced[],
	isExcused: IsExcused
): string[] {
	return traced.flatMap(({gateway, worker, at, pausedUntil}) => {
		if (pausedUntil === 0 || isExcused(gateway, at)) return []
		const during = traced.filter(
			other => other.at > at + pauseNoticeMs && other.at < pausedUntil
		)
		if (during.length <= maxDuringPause) return []
		return [`${during.length} requests to ${worker} during its pause`]
	})
}

/** Judges each span of time in which one worker stated the same limit throughout. */
function judgeLimits(
	traced: readonly Traced[],
	disturbances: readonly Disturbance[]
): string[] {
	const ordered = [...traced].sort((a, b) => a.at - b.at)
	const breaches: string[] = []
	let span: Traced[] = []
	for (const arrival of ordered) {
		if (arrival.perSecond !== span[0]?.perSecond) {
			breaches.push(...judgeLimitSpan(span, disturbances))
			span = []
		}
		span.push(arrival)
	}
	return [...breaches, ...judgeLimitSpan(span, disturbances)]
}

function judgeLimitSpan(
	span: readonly Traced[],
	disturbances: readonly Disturbance[]
): string[] {
	const [first] = span
	if (first === undefined || first.perSecond === 0) return []
	const {perSecond, worker} = first
	const counted = span.filter(
		({gateway, at}) =>
			at >= first.at + limitNoticeMs && wasTold(span, disturbances, gateway, at)
	)
	const allowed = perSecond * (limitWindowMs / 1000) * 1.5 + 5
	const busiest = Math.max(
		0,
		...counted.map(
			({at: from}) =>
				counted.filter(({at}) => at >= from && at < from + limitWindowMs).length
		)
	)
	if (busiest <= allowed) return []
	return [`${busiest} requests to ${worker}, which takes ${perSecond} a second`]
}

/** Whether the gateway has passed on the limit, and was not disturbed since. */
function wasTold(
	span: readonly Traced[],
	disturbances: readonly Disturbance[],
	gateway: string,
	at: number
): boolean {
	const disturbedAt = Math.max(
		Number.NEGATIVE_INFINITY,
		...disturbances
			.filter(one => one.gateway === gateway && one.at <= at)
			.map(one => one.at)
	)
	return span.some(
		other =>
			other.gateway === gateway &&
			other.at > disturbedAt &&
			other.at + limitToldMs <= at
	)
}
