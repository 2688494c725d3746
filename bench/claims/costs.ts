/** Processor time per decision and memory per remembered key. */
import {setFlagsFromString} from "node:v8"
import {runInNewContext} from "node:vm"
import {WriteOutcome} from "../../src/link/platform.js"
import {
	BodyEncoding,
	type ClaimHead,
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
	measureSync()
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

/** A bucket whose platform answers at once. */
class BucketDriver {
	readonly bucket: ClaimBucket
	now = startAt
	segmentsRead = 0

	constructor(
		private readonly log: BucketLog,
		name: string
	) {
		this.bucket = new ClaimBucket({
			pool: "orders-desk",
			bucket: 0,
			owner: {hostId: name, address: "127.0.0.1:1", incarnation: 1},
			processId: `01JD0000000000000000${name}`
		})
	}

	feed(event: ClaimEvent): void {
		for (const action of this.bucket.step(event, this.now)) this.react(action)
	}

	private react(action: ClaimAction): void {
		const {log} = this
		switch (action.type) {
			case ClaimActionType.ReadHead: {
				const {head, version} = log
				this.feed({type: ClaimEventType.HeadRead, head, version})
				return
			}
			case ClaimActionType.ReadSegments: {
				this.segmentsRead += action.refs.length
				const texts = action.refs.map(({id}) => log.segments.get(id))
				const segments = texts.map(
					text => JSON.parse(text ?? "") as ClaimSegment
				)
				this.feed({type: ClaimEventType.SegmentsRead, segments})
				return
			}
			case ClaimActionType.WriteHead: {
				log.head = action.head
				log.version += 1
				const {version} = log
				const outcome = WriteOutcome.Written
				this.feed({type: ClaimEventType.WriteEnded, outcome, version})
				return
			}
			case ClaimActionType.WriteSegment: {
				log.segments.set(action.id, JSON.stringify(action.segment))
				const outcome = WriteOutcome.Written
				this.feed({type: ClaimEventType.SegmentWritten, outcome})
				return
			}
			case ClaimActionType.RemoveSegment:
				log.segments.delete(action.id)
				return
			case ClaimActionType.Send: {
				const {key, attempt} = action
				const answer = makeAnswer(key)
				const outcome = {end: SendEnd.Answered as const, answer}
				this.feed({type: ClaimEventType.CallEnded, key, attempt, outcome})
			}
		}
	}
}

/** What the platform holds of the bucket; segments as text. */
interface BucketLog {
	head: ClaimHead | undefined
	version: number
	segments: Map<string, string>
}

function makeLog(): BucketLog {
	return {head: undefined, version: 0, segments: new Map()}
}

function runClaims(groupSize: number, log = makeLog()): ClaimBucket {
	const driver = new BucketDriver(log, "writer")
	for (let index = 0; index < keys; index++) {
		const key = keyOf(index)
		const call = {
			id: index,
			key,
			bodyHash: `${key}-body`,
			deadline: driver.now + 10_000,
			mayHaveBeenSent: false,
			isFirstAttempt: true
		}
		driver.feed({type: ClaimEventType.Call, call})
		if (index % groupSize !== groupSize - 1) continue
		driver.now += 300
		driver.feed({type: ClaimEventType.Tick})
	}
	return driver.bucket
}

/** Prints what it takes a new process to read the log of a bucket. */
function measureSync(): void {
	const log = makeLog()
	runClaims(10, log)
	const reader = new BucketDriver(log, "reader")
	const beganAt = performance.now()
	reader.feed({type: ClaimEventType.Sync})
	const ms = performance.now() - beganAt
	const texts = [...log.segments.values()]
	const chars = texts.reduce((sum, text) => sum + text.length, 0)
	const headChars = JSON.stringify(log.head).length
	printTable(
		`first read of a bucket with ${reader.bucket.size} keys`,
		["segments", "MB in segments", "head chars", "ms of processor"],
		[[reader.segmentsRead, (chars / 1e6).toFixed(1), headChars, Math.round(ms)]]
	)
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
