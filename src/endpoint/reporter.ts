/**
 * Sends reports to the entries on the streams that they opened. A report has
 * the current load and the adapters whose residency changed since the previous
 * report on that stream. Changes are sent at a limited rate; without changes, a
 * report is sent as a heartbeat.
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

/** Contents of a report, apart from the residency changes. */
export interface ReportStats {
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
	getStats: () => ReportStats
	getResidency: () => ReadonlyMap<AdapterName, Residency>
	onAck: (ack: ReportAck) => void
}

interface ReportStream {
	call: ReportCall
	sentResidency: Map<AdapterName, Residency>
	/** Maximum time between two reports. */
	heartbeatMs: number
	/** Minimum time between two reports, unless a flush forces one. */
	minReportMs: number
	hasPendingChange: boolean
	/** Stats of the last report as JSON; empty before the first one. */
	lastStats: string
	lastSentAt: number
}

const checkIntervalMs = 200
const initialHeartbeatMs = 1000
const noResidency: ReadonlyMap<AdapterName, Residency> = new Map()

export class Reporter {
	private readonly options: ReporterOptions
	private readonly streams = new Set<ReportStream>()
	private readonly ticker: NodeJS.Timeout

	constructor(options: ReporterOptions) {
		this.options = options
		this.ticker = setInterval(() => {
			this.sendDueReports()
		}, checkIntervalMs)
	}

	get streamCount(): number {
		return this.streams.size
	}

	/** Adds a stream that an entry opened, and sends the first report on it. */
	attach(call: ReportCall): void {
		const stream: ReportStream = {
			call,
			sentResidency: new Map(noResidency),
			heartbeatMs: initialHeartbeatMs,
			minReportMs: checkIntervalMs,
			hasPendingChange: false,
			lastStats: "",
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

	/**
	 * Makes every stream report changes at its next allowed time, so that several
	 * changes share one report.
	 */
	markChanged(): void {
		for (const stream of this.streams) stream.hasPendingChange = true
	}

	/** Sends pending changes to every entry now, regardless of `minReportMs`. */
	flush(): void {
		for (const stream of this.streams) this.send(stream, false)
	}

	close(): void {
		clearInterval(this.ticker)
		for (const {call} of this.streams) call.end()
		this.streams.clear()
	}

	private sendDueReports(): void {
		const now = Date.now()
		for (const stream of this.streams) {
			const silentMs = now - stream.lastSentAt
			if (silentMs >= stream.heartbeatMs) this.send(stream, true)
			else if (stream.hasPendingChange && silentMs >= stream.minReportMs) {
				this.send(stream, false)
			}
		}
	}

	/** Sends a report if it has changes since the last one or `isForced` is true. */
	private send(stream: ReportStream, isForced: boolean): void {
		stream.hasPendingChange = false
		const stats = this.options.getStats()
		const residency = this.options.getResidency()
		const changes = diffResidency(stream.sentResidency, residency)
		const serialized = JSON.stringify(stats)
		const isSame = changes.length === 0 && serialized === stream.lastStats
		if (isSame && !isForced) return
		const full = stream.lastStats === ""
		stream.call.write(create(ReportSchema, {...stats, full, changes}))
		stream.sentResidency = new Map(residency)
		stream.lastStats = serialized
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
