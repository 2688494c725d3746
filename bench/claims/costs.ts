/** Measures the processor time per call and the memory per remembered key. */
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

const keyCount = 100_000
const callsPerWriteCounts = [1, 10]
const answerChars = 200
const startAtMs = 1_800_000_000_000

interface Cost {
	microsPerCall: number
	bytesPerKey: number
}

/** Measures calls from arrival to the recorded answer, with each mechanism. */
export function measureCosts(): void {
	setFlagsFromString("--expose-gc")
	const gc = runInNewContext("gc") as () => void
	const rows: (string | number)[][] = []
	for (const size of callsPerWriteCounts) {
		const label = `claims, ${size} per write`
		rows.push(
			createRow(
				label,
				measureCost(gc, () => runClaims(size))
			)
		)
	}
	rows.push(createRow("tickets", measureCost(gc, runTickets)))
	printTable(
		`${keyCount} keys, answers of ${answerChars} characters`,
		["mechanism", "microseconds per call", "bytes per remembered key"],
		rows
	)
	measureFirstRead()
}

function createRow(label: string, cost: Cost): (string | number)[] {
	const {microsPerCall, bytesPerKey} = cost
	return [label, microsPerCall.toFixed(1), Math.round(bytesPerKey)]
}

/** Memory is measured while the state that `run` returns is reachable. */
function measureCost(gc: () => void, run: () => {size: number}): Cost {
	gc()
	const before = process.memoryUsage().heapUsed
	const beganAt = performance.now()
	const state = run()
	const ms = performance.now() - beganAt
	gc()
	const bytes = process.memoryUsage().heapUsed - before
	return {
		microsPerCall: (ms * 1_000) / state.size,
		bytesPerKey: bytes / state.size
	}
}

/** Drives a ClaimBucket, performing its actions on a stored log at once. */
class BucketDriver {
	readonly bucket: ClaimBucket
	now = startAtMs
	segmentsRead = 0

	constructor(
		private readonly log: StoredLog,
		name: string
	) {
		this.bucket = new ClaimBucket({
			pool: "orders-desk",
			bucket: 0,
			owner: {hostId: name, address: "127.0.0.1:1", incarnation: 1},
			processId: `01JD0000000000000000${name}`
		})
	}

	handleEvent(event: ClaimEvent): void {
		for (const action of this.bucket.step(event, this.now)) this.perform(action)
	}

	private perform(action: ClaimAction): void {
		const {log} = this
		switch (action.type) {
			case ClaimActionType.ReadHead: {
				const {head, version} = log
				this.handleEvent({type: ClaimEventType.HeadRead, head, version})
				return
			}
			case ClaimActionType.ReadSegments: {
				this.segmentsRead += action.refs.length
				const texts = action.refs.map(({id}) => log.segments.get(id))
				const segments = texts.map(
					text => JSON.parse(text ?? "") as ClaimSegment
				)
				this.handleEvent({type: ClaimEventType.SegmentsRead, segments})
				return
			}
			case ClaimActionType.WriteHead: {
				log.head = action.head
				log.version += 1
				const {version} = log
				const outcome = WriteOutcome.Written
				this.handleEvent({type: ClaimEventType.WriteEnded, outcome, version})
				return
			}
			case ClaimActionType.WriteSegment: {
				log.segments.set(action.id, JSON.stringify(action.segment))
				const outcome = WriteOutcome.Written
				this.handleEvent({type: ClaimEventType.SegmentWritten, outcome})
				return
			}
			case ClaimActionType.RemoveSegment:
				log.segments.delete(action.id)
				return
			case ClaimActionType.Send: {
				const {key, attempt} = action
				const answer = createAnswer(key)
				const outcome = {end: SendEnd.Answered as const, answer}
				this.handleEvent({
					type: ClaimEventType.CallEnded,
					key,
					attempt,
					outcome
				})
			}
		}
	}
}

/** The bucket's log as the platform stores it; segments are JSON texts. */
interface StoredLog {
	head: ClaimHead | undefined
	version: number
	segments: Map<string, string>
}

function createStoredLog(): StoredLog {
	return {head: undefined, version: 0, segments: new Map()}
}

function runClaims(
	callsPerWrite: number,
	log = createStoredLog()
): ClaimBucket {
	const driver = new BucketDriver(log, "writer")
	for (let index = 0; index < keyCount; index++) {
		const key = createKey(index)
		const call = {
			id: index,
			key,
			bodyHash: `${key}-body`,
			deadline: driver.now + 10_000,
			mayHaveBeenSent: false,
			isFirstAttempt: true
		}
		driver.handleEvent({type: ClaimEventType.Call, call})
		if (index % callsPerWrite !== callsPerWrite - 1) continue
		// Longer than writeIntervalMs, so that the tick writes the pending calls.
		driver.now += 300
		driver.handleEvent({type: ClaimEventType.Tick})
	}
	return driver.bucket
}

/** Measures how long a new process takes to read the log of a bucket. */
function measureFirstRead(): void {
	const log = createStoredLog()
	runClaims(10, log)
	const reader = new BucketDriver(log, "reader")
	const beganAt = performance.now()
	reader.handleEvent({type: ClaimEventType.Sync})
	const ms = performance.now() - beganAt
	const texts = [...log.segments.values()]
	const chars = texts.reduce((sum, text) => sum + text.length, 0)
	const headChars = JSON.stringify(log.head).length
	printTable(
		`first read of a bucket with ${reader.bucket.size} keys`,
		["segments", "MB in segments", "head chars", "processor ms"],
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
	for (let id = 0; id < keyCount; id++) {
		const nonce = createKey(id)
		const ticket = {
			hostId: "host-1",
			incarnation: 1,
			expiresAt: startAtMs + 600_000,
			nonce,
			code: ""
		}
		const deadline = startAtMs + 10_000
		const bodyHash = `${nonce}-body`
		const call = {id, ticket, isAuthentic: true, bodyHash, deadline}
		for (const action of ledger.addCall(call, startAtMs)) {
			if (action.type !== TicketActionType.Send) continue
			const answer = createAnswer(nonce)
			ledger.endCall(action.nonce, {end: SendEnd.Answered, answer})
		}
	}
	return ledger
}

/** Creates keys of the length of the key hashes that ClaimTask stores. */
function createKey(index: number): string {
	return `k${String(index).padStart(21, "0")}`
}

function createAnswer(key: string): StoredAnswer {
	const body = `${key}${"x".repeat(answerChars - key.length)}`
	const contentType = "application/json"
	const encoding = BodyEncoding.Utf8
	return {status: 201, contentType, encoding, body, size: answerChars}
}
