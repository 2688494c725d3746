/**
 * Judges whether gateways heeded what workers stated in their answers: that they
 * are leaving, or want no requests for a time.
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
}

const drainMs = 2000
const pauseNoticeMs = 500
/** Requests that may reach a worker during a pause, from one gateway. */
const maxDuringPause = 2

interface Traced extends WorkerArrival {
	gateway: string
	sentAt: number
}

export function judgeStatements({
	records,
	arrivals,
	disturbances
}: StatementEvidence): string[] {
	const byId = new Map(records.map(record => [record.id, record]))
	const byPair = new Map<string, Traced[]>()
	for (const arrival of arrivals) {
		const record = byId.get(arrival.requestId)
		if (record === undefined) continue
		const {gateway, sentAt} = record
		const pair = `${gateway} ${arrival.worker}`
		const traced = {...arrival, gateway, sentAt}
		const known = byPair.get(pair)
		if (known === undefined) byPair.set(pair, [traced])
		else known.push(traced)
	}
	const isExcused = (gateway: string, since: number): boolean =>
		disturbances.some(one => one.gateway === gateway && one.at >= since)
	return [...byPair.values()].flatMap(traced => [
		...judgeLeaving(traced, isExcused),
		...judgePauses(traced, isExcused)
	])
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
