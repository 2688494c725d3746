/**
 * Report streams to the entries: residency as deltas and load on change, at a
 * bounded rate; an idle stream carries a rare report as its heartbeat.
 */
import {create} from "@bufbuild/protobuf"
import {
	type HostState,
	type ReportAck,
	ReportSchema,
	Residency
} from "../contract/gen/link_pb.js"
import type {ReportCall} from "../link/linkServer.js"
import type {AdapterName} from "../policy/types.js"

/** What is reported, apart from residency changes. */
export interface ReportFigures {
	hostId: string
	incarnation: number
	pool: string
	failureDomain: string
	state: HostState
	generation: number
	workers: number
	seats: number
	slots: number
	running: number
	queued: number
	loadDemand: number
	loadMs: number
}

export interface ReporterOptions {
	figures: () => ReportFigures
	residency: () => ReadonlyMap<AdapterName, Residency>
	onAck: (ack: ReportAck) => void
}

interface ReportStream {
	call: ReportCall
	sent: Map<AdapterName, Residency>
	/** Longest time between two reports. */
	heartbeatMs: number
	/** Shortest time between two reports that tell a change. */
	minReportMs: number
	hasChange: boolean
	lastFigures: string
	lastSentAt: number
}

const tickMs = 200
const firstHeartbeatMs = 1000
const noResidency: ReadonlyMap<AdapterName, Residency> = new Map()

export class Reporter {
	private readonly options: ReporterOptions
	private readonly streams = new Set<ReportStream>()
	private readonly ticker: NodeJS.Timeout

	constructor(options: ReporterOptions) {
		this.options = options
		this.ticker = setInterval(() => {
			this.sendDue()
		}, tickMs)
	}

	get streamCount(): number {
		return this.streams.size
	}

	/** Adds the stream that an entry opened. */
	attach(call: ReportCall): void {
		const stream: ReportStream = {
			call,
			sent: new Map(noResidency),
			heartbeatMs: firstHeartbeatMs,
			minReportMs: tickMs,
			hasChange: false,
			lastFigures: "",
			lastSentAt: 0
		}
		this.streams.add(stream)
		const detach = (): void => {
			this.streams.delete(stream)
		}
		call.on("data", (ack: ReportAck) => {
			if (ack.heartbeatMs > 0) {
				stream.heartbeatMs = ack.heartbeatMs
				stream.minReportMs = ack.minReportMs
			}
			this.options.onAck(ack)
		})
		call.on("cancelled", detach)
		call.on("error", detach)
		call.on("end", () => {
			detach()
			call.end()
		})
		this.send(stream, true)
	}

	/** Sends changes soon, several together. */
	noteChange(): void {
		for (const stream of this.streams) stream.hasChange = true
	}

	/** Sends changes to every entry now. */
	flush(): void {
		for (const stream of this.streams) this.send(stream, false)
	}

	close(): void {
		clearInterval(this.ticker)
		for (const {call} of this.streams) call.end()
		this.streams.clear()
	}

	private sendDue(): void {
		const now = Date.now()
		for (const stream of this.streams) {
			const silentMs = now - stream.lastSentAt
			if (silentMs >= stream.heartbeatMs) this.send(stream, true)
			else if (stream.hasChange && silentMs >= stream.minReportMs) {
				this.send(stream, false)
			}
		}
	}

	/** Sends what changed; nothing when nothing did, unless forced. */
	private send(stream: ReportStream, isForced: boolean): void {
		stream.hasChange = false
		const figures = this.options.figures()
		const residency = this.options.residency()
		const changes = diffResidency(stream.sent, residency)
		const text = JSON.stringify(figures)
		const isSame = changes.length === 0 && text === stream.lastFigures
		if (isSame && !isForced) return
		const full = stream.lastFigures === ""
		stream.call.write(create(ReportSchema, {...figures, full, changes}))
		stream.sent = new Map(residency)
		stream.lastFigures = text
		stream.lastSentAt = Date.now()
	}
}

function diffResidency(
	before: ReadonlyMap<AdapterName, Residency>,
	after: ReadonlyMap<AdapterName, Residency>
): {adapter: AdapterName; residency: Residency}[] {
	const changes: {adapter: AdapterName; residency: Residency}[] = []
	for (const [adapter, residency] of after) {
		if (before.get(adapter) !== residency) changes.push({adapter, residency})
	}
	for (const adapter of before.keys()) {
		if (after.has(adapter)) continue
		changes.push({adapter, residency: Residency.ABSENT})
	}
	return changes
}
