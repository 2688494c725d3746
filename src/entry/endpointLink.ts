/**
 * The connection from this entry to one endpoint process. Receives its reports,
 * sends requests to it, and derives from both the load that the router sees.
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

/**
 * Contents of the `ReportAck` messages. The entry sends them on connecting, at
 * each heartbeat interval and when it installs a configuration, not in answer to
 * single reports.
 */
export interface AckContents {
	entryId: string
	entryAddress: string
	generation: number
	fleetLoadDemand: number
	fleetDemanding: number
	loadingProcesses: number
	heartbeatMs: number
	minReportMs: number
	/** Ids of the hosts of the endpoint's pool that get new requests. */
	poolHosts: string[]
}

export interface EndpointLinkOptions {
	hostId: string
	address: string
	tls: TlsKeys | undefined
	onReport: (link: EndpointLink, report: Report) => void
	/**
	 * Called when the report stream fails or ends. `isOpened` is true if a report
	 * had arrived on it.
	 */
	onReset: (link: EndpointLink, isOpened: boolean) => void
}

const defaultLoadMs = 250
/**
 * Added to the request's deadline, so that the endpoint process can send its
 * outcome before gRPC ends the stream.
 */
const rpcDeadlineMarginMs = 2000

export class EndpointLink {
	readonly hostId: string
	readonly client: LinkClient
	/** The latest report; undefined before the first one. */
	report: Report | undefined
	private readonly options: EndpointLinkOptions
	private readonly resident = new Set<AdapterName>()
	private readonly loading = new Set<AdapterName>()
	private readonly suspectListeners = new Set<() => void>()
	private stream: ReportStream | undefined
	/** Requests of this entry whose streams have not ended, queued ones included. */
	private inFlight = 0
	/** Value of `inFlight` when the latest report arrived. */
	private inFlightAtReport = 0
	private isClosed = false
	/** The pool hosts last sent on this stream; sent again only on a change. */
	private lastSentPoolHosts = ""

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
			this.applyReport(report)
		})
		stream.on("error", reset)
		stream.on("end", reset)
		this.stream = stream
		this.lastSentPoolHosts = ""
	}

	/** Sends a `ReportAck` if the report stream is open. */
	acknowledge(contents: AckContents): void {
		if (this.stream === undefined) return
		const {poolHosts, ...others} = contents
		const text = poolHosts.join()
		const hasPoolHosts = text !== this.lastSentPoolHosts
		this.lastSentPoolHosts = text
		const hosts = hasPoolHosts ? {hasPoolHosts, poolHosts} : {}
		this.stream.write(create(ReportAckSchema, {...others, ...hosts}))
	}

	/** Sends a request and counts it as in flight until its stream ends. */
	run(
		req: RunRequest,
		deadline = req.deadlineMs + rpcDeadlineMarginMs
	): RunStream {
		this.inFlight += 1
		const stream = this.client.run(req, deadline)
		let isCounted = true
		const release = (): void => {
			if (!isCounted) return
			isCounted = false
			this.inFlight -= 1
		}
		stream.on("end", release)
		stream.on("error", release)
		return stream
	}

	/**
	 * Calls `listener` when the host becomes suspect: no message arrived within
	 * the heartbeat timeout, or its report stream broke. The returned function
	 * removes the listener.
	 */
	onSuspect(listener: () => void): () => void {
		this.suspectListeners.add(listener)
		return () => {
			this.suspectListeners.delete(listener)
		}
	}

	/** Calls the listeners of `onSuspect`. */
	notifySuspect(): void {
		for (const listener of [...this.suspectListeners]) listener()
	}

	/** Creates the router's view of this endpoint process. */
	createView(admitting: boolean): EndpointView {
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
			unreportedOwnRequests: Math.max(0, this.inFlight - this.inFlightAtReport),
			loadMs: report?.loadMs === 0 ? defaultLoadMs : (report?.loadMs ?? 0)
		}
	}

	close(): void {
		this.isClosed = true
		this.stream?.cancel()
		this.client.close()
	}

	private applyReport(report: Report): void {
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
		this.inFlightAtReport = this.inFlight
		this.options.onReport(this, report)
	}
}
