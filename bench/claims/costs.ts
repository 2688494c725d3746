/** Processor time per decision and memory per remembered key. */
import {setFlagsFromString} from "node:v8"
import {runInNewContext} from "node:vm"
import {WriteOutcome} from "../../src/link/platform.js"
import {
	BodyEncoding,
	type ClaimSegment,
	type StoredAnswer
} from "../../src/policy/claimLog.js"
import {ClaimBucket} from "../../src/policy/claims.js"
import {
	type ClaimAction,
	ClaimActionType,
	type ClaimEvent,
	ClaimEventType,
	SendEnd
} from "../../src/policy/claimTypes.js"
import {TicketActionType, TicketLedger} from "../../src/policy/tickets.js"
import {printTable} from "./table.js"

const keys = 100_000
const groupSizes = [1, 10]
const bodyChars = 200
const startAt = 1_800_000_000_000

interface Cost {
	microsPerCall: number
	bytesPerKey: number
}

/** Prints the cost of calls that are claimed, sent, answered and recorded. */
export function measureCosts(): void {
	setFlagsFromString("--expose-gc")
	const gc = runInNewContext("gc") as () => void
	const rows: (string | number)[][] = []
	for (const size of groupSizes) {
		const label = `claims, ${size} a write`
		rows.push(
			toRow(
				label,
				measure(gc, () => runClaims(size))
			)
		)
	}
	rows.push(toRow("tickets", measure(gc, runTickets)))
	printTable(
		`${keys} keys, answers of ${bodyChars} characters`,
		["way", "microseconds per call", "bytes per remembered key"],
		rows
	)
}

function toRow(label: string, cost: Cost): (string | number)[] {
	const {microsPerCall, bytesPerKey} = cost
	return [label, microsPerCall.toFixed(1), Math.round(bytesPerKey)]
}

/** `run` returns what must stay in memory. */
function measure(gc: () => void, run: () => {size: number}): Cost {
	gc()
	const before = process.memoryUsage().heapUsed
	const beganAt = performance.now()
	const kept = run()
	const ms = performance.now() - beganAt
	gc()
	const bytes = process.memoryUsage().heapUsed - before
	return {
		microsPerCall: (ms * 1_000) / kept.size,
		bytesPerKey: bytes / kept.size
	}
}

function runClaims(groupSize: number): ClaimBucket {
	const owner = {hostId: "host-1", address: "127.0.0.1:1", incarnation: 1}
	const bucket = new ClaimBucket({
		pool: "orders-desk",
		bucket: 0,
		owner,
		processId: "01JD0000000000000000000000"
	})
	let now = startAt
	let version = 0
	const feed = (event: ClaimEvent): void => {
		for (const action of bucket.step(event, now)) react(action)
	}
	const segments = new Map<string, ClaimSegment>()
	const react = (action: ClaimAction): void => {
		switch (action.type) {
			case ClaimActionType.ReadHead:
				feed({type: ClaimEventType.HeadRead, head: undefined, version})
				return
			case ClaimActionType.WriteHead:
				version += 1
				feed({
					type: ClaimEventType.WriteEnded,
					outcome: WriteOutcome.Written,
					version
				})
				return
			case ClaimActionType.ReadSegments:
				feed({
					type: ClaimEventType.SegmentsRead,
					segments: action.refs.map(({id}) => segments.get(id))
				})
				return
			case ClaimActionType.RemoveSegment:
				segments.delete(action.id)
				return
			case ClaimActionType.WriteSegment:
				segments.set(action.id, action.segment)
				feed({
					type: ClaimEventType.SegmentWritten,
					outcome: WriteOutcome.Written
				})
				return
			case ClaimActionType.Send:
				feed({
					type: ClaimEventType.CallEnded,
					key: action.key,
					attempt: action.attempt,
					outcome: {end: SendEnd.Answered, answer: makeAnswer(action.key)}
				})
		}
	}
	for (let index = 0; index < keys; index++) {
		const key = keyOf(index)
		const call = {
			id: index,
			key,
			bodyHash: `${key}-body`,
			deadline: now + 10_000,
			mayHaveBeenSent: false,
			isFirstAttempt: true
		}
		feed({type: ClaimEventType.Call, call})
		if (index % groupSize !== groupSize - 1) continue
		now += 300
		feed({type: ClaimEventType.Tick})
	}
	return bucket
}

function runTickets(): TicketLedger {
	const ledger = new TicketLedger({
		hostId: "host-1",
		incarnation: 1,
		retentionMs: 86_400_000,
		maxAnswerChars: 16_384
	})
	for (let id = 0; id < keys; id++) {
		const nonce = keyOf(id)
		const ticket = {
			hostId: "host-1",
			incarnation: 1,
			expiresAt: startAt + 600_000,
			nonce,
			code: ""
		}
		const deadline = startAt + 10_000
		const bodyHash = `${nonce}-body`
		const call = {id, ticket, isAuthentic: true, bodyHash, deadline}
		for (const action of ledger.addCall(call, startAt)) {
			if (action.type !== TicketActionType.Send) continue
			const answer = makeAnswer(nonce)
			ledger.endCall(action.nonce, {end: SendEnd.Answered, answer})
		}
	}
	return ledger
}

/** As long as the hashes that the task makes. */
function keyOf(index: number): string {
	return `k${String(index).padStart(21, "0")}`
}

function makeAnswer(key: string): StoredAnswer {
	const body = `${key}${"x".repeat(bodyChars - key.length)}`
	const contentType = "application/json"
	const encoding = BodyEncoding.Utf8
	return {status: 201, contentType, encoding, body, size: bodyChars}
}
