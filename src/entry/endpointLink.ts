/**
 * The link from this entry to one endpoint process: its report stream, and
 * what the reports and this entry's own requests say of its load.
 */
import {create} from "@bufbuild/protobuf"
import {
	type Report,
	ReportAckSchema,
	Residency,
	type RunRequest
} from "../contract/gen/link_pb.js"
import {
	LinkClient,
	type ReportStream,
	type RunStream,
	type TlsKeys
} from "../link/index.js"
import type {AdapterName, EndpointView} from "../policy/index.js"

/** What the entry tells the endpoint process with each acknowledgement. */
export interface AckFigures {
	entryId: string
	entryAddress: string
	generation: number
	fleetLoadDemand: number
	fleetDemanding: number
	loadingProcesses: number
	heartbeatMs: number
	minReportMs: number
	/** Hosts of the endpoint's pool that take work. */
	poolHosts: string[]
}

export interface EndpointLinkOptions {
	hostId: string
	address: string
	tls: TlsKeys | undefined
	onReport: (link: EndpointLink, report: Report) => void
	/** The stream broke; `isOpened` when a report had arrived on it. */
	onReset: (link: EndpointLink, isOpened: boolean) => void
}

const expectedLoadMs = 250
const runGraceMs = 2000

export class EndpointLink {
	readonly hostId: string
	readonly client: LinkClient
	/** The last report, undefined before the first. */
	report: Report | undefined
	private readonly options: EndpointLinkOptions
	private readonly resident = new Set<AdapterName>()
	private readonly loading = new Set<AdapterName>()
	private readonly suspectListeners = new Set<() => void>()
	private stream: ReportStream | undefined
	private ownInFlight = 0
	private ownAtReport = 0
	private isClosed = false
	/** Pool hosts as told last on the open stream. */
	private toldHosts = ""

	constructor(options: EndpointLinkOptions) {
		this.options = options
		this.hostId = options.hostId
		const {address, tls} = options
		this.client = new LinkClient({address, tls})
	}

	/** Opens the report stream. */
	open(): void {
		const stream = this.client.report()
		let isOpened = false
		let isReset = false
		const reset = (): void => {
			if (isReset) return
			isReset = true
			if (this.stream === stream) this.stream = undefined
			if (!this.isClosed) this.options.onReset(this, isOpened)
		}
		stream.on("data", (report: Report) => {
			isOpened = true
			this.take(report)
		})
		stream.on("error", reset)
		stream.on("end", reset)
		this.stream = stream
		this.toldHosts = ""
	}

	/** Sends an acknowledgement when the stream is open. */
	acknowledge(figures: AckFigures): void {
		if (this.stream === undefined) return
		const {poolHosts, ...others} = figures
		const text = poolHosts.join()
		const hasPoolHosts = text !== this.toldHosts
		this.toldHosts = text
		const hosts = hasPoolHosts ? {hasPoolHosts, poolHosts} : {}
		this.stream.write(create(ReportAckSchema, {...others, ...hosts}))
	}

	/** Starts a request and counts it until its stream ends. */
	run(req: RunRequest, deadline = req.deadlineMs + runGraceMs): RunStream {
		this.ownInFlight += 1
		const stream = this.client.run(req, deadline)
		let isCounted = true
		const release = (): void => {
			if (!isCounted) return
			isCounted = false
			this.ownInFlight -= 1
		}
		stream.on("end", release)
		stream.on("error", release)
		return stream
	}

	/**
	 * Calls `listener` when the host stops answering while a request runs there;
	 * returns the function that removes it.
	 */
	onSuspect(listener: () => void): () => void {
		this.suspectListeners.add(listener)
		return () => {
			this.suspectListeners.delete(listener)
		}
	}

	/** The host missed its heartbeats. */
	suspect(): void {
		for (const listener of [...this.suspectListeners]) listener()
	}

	/** What the router needs to know of this endpoint process. */
	view(admitting: boolean): EndpointView {
		const {report} = this
		return {
			id: this.hostId,
			failureDomain: report?.failureDomain ?? "",
			admitting: admitting && (report?.seats ?? 0) > 0,
			workers: report?.workers ?? 0,
			seats: report?.seats ?? 0,
			slots: report?.slots ?? 0,
			resident: this.resident,
			loading: this.loading,
			running: report?.running ?? 0,
			queued: report?.queued ?? 0,
			ownUnreported: Math.max(0, this.ownInFlight - this.ownAtReport),
			loadMs: report?.loadMs === 0 ? expectedLoadMs : (report?.loadMs ?? 0)
		}
	}

	close(): void {
		this.isClosed = true
		this.stream?.cancel()
		this.client.close()
	}

	private take(report: Report): void {
		if (report.full) {
			this.resident.clear()
			this.loading.clear()
		}
		for (const {adapter, residency} of report.changes) {
			this.resident.delete(adapter)
			this.loading.delete(adapter)
			if (residency === Residency.RESIDENT) this.resident.add(adapter)
			if (residency === Residency.LOADING) this.loading.add(adapter)
		}
		this.report = report
		this.ownAtReport = this.ownInFlight
		this.options.onReport(this, report)
	}
}
