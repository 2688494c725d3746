/**
 * The hosts that this entry knows. Reads the platform's host list, keeps a link
 * to each endpoint process, passes what it learns from both to the `Membership`
 * state machine, and executes the actions that this returns.
 */
import {
	type Announce,
	HostState as LinkHostState,
	type Report
} from "../contract/gen/link_pb.js"
import {HostRole, HostState} from "../host/host.js"
import type {HostRecord, Platform, TlsKeys} from "../link/index.js"
import {chooseLinkIntervals, type EndpointView} from "../policy/index.js"
import {Membership} from "../policy/membership.js"
import {
	type ObservedHost,
	type MembershipAction,
	MembershipActionType,
	type MembershipEvent,
	MembershipEventType,
	MembershipState
} from "../policy/membershipTypes.js"
import type {Counters} from "../program/counters.js"
import type {Log} from "../program/log.js"
import {messageOf, sleep} from "../utils/common.js"
import {type AckContents, EndpointLink} from "./endpointLink.js"

export interface FleetOptions {
	selfId: string
	selfAddress: string
	platform: Platform
	tls: TlsKeys | undefined
	counters: Counters
	log: Log
	generation: () => number
	/** Called with the configuration generation in each report of a host. */
	onGeneration: (address: string, generation: number) => void
}

/** Demand for adapter loads, summed over all endpoint processes. */
interface FleetDemand {
	demand: number
	/** Number of endpoint processes with a demand above 0. */
	demanding: number
	/** Number of endpoint processes that load adapters. */
	processes: number
}

export class Fleet {
	private readonly options: FleetOptions
	private readonly membership: Membership
	private readonly links = new Map<string, EndpointLink>()
	private readonly stop = new AbortController()
	private pace = chooseLinkIntervals(0, 0)
	private ackTimer: NodeJS.Timeout | undefined
	private tickTimer: NodeJS.Timeout | undefined
	private isHostListReadable = false

	constructor(options: FleetOptions) {
		this.options = options
		this.membership = new Membership({
			selfId: options.selfId,
			heartbeatTimeoutMs: this.pace.heartbeatTimeoutMs
		})
		this.scheduleAcks()
	}

	/** Reads the platform's host list regularly until `close`. */
	async run(): Promise<void> {
		while (!this.stop.signal.aborted) {
			await this.readHostList()
			await sleep(this.pace.listIntervalMs, this.stop.signal)
		}
	}

	/** Returns true if an endpoint process of the pool takes new requests. */
	isServing(pool: string): boolean {
		return this.listEndpointViews(pool).some(view => view.admitting)
	}

	/** Returns the router's views of a pool's endpoint processes. */
	listEndpointViews(pool: string): EndpointView[] {
		return this.listPoolHosts(pool).flatMap(host => {
			const link = this.links.get(host.id)
			if (link === undefined) return []
			return [link.createView(host.state === MembershipState.Live)]
		})
	}

	/** Returns the ids of a pool's hosts that take new requests. */
	listAdmittingHosts(pool: string): string[] {
		const views = this.listEndpointViews(pool).filter(view => view.admitting)
		return views.map(view => view.id)
	}

	/**
	 * Returns the ids of a pool's hosts that are not live or went away recently,
	 * but may have sent calls to a service before.
	 */
	listRecentlyUnavailable(pool: string): string[] {
		const gone = this.membership.listRecentlyGone()
		const away = this.listHosts().filter(
			({state}) => state !== MembershipState.Live
		)
		const hosts = [...gone, ...away].filter(host => host.pool === pool)
		return hosts.map(host => host.id)
	}

	getLink(hostId: string): EndpointLink | undefined {
		return this.links.get(hostId)
	}

	findLinkByAddress(address: string): EndpointLink | undefined {
		const links = [...this.links.values()]
		return links.find(link => link.client.address === address)
	}

	listHosts(): readonly ObservedHost[] {
		return this.membership.hosts()
	}

	/** Returns the addresses of the other entries in the host list. */
	listEntryAddresses(): string[] {
		const entries = this.listHosts().filter(
			host => host.role === HostRole.Entry
		)
		return entries.map(host => host.address)
	}

	/** Handles a host's announcement of its own identity and state. */
	handleAnnounce(announce: Announce): void {
		const host: HostRecord = {
			id: announce.hostId,
			role: toHostRole(announce.role),
			address: announce.address,
			failureDomain: announce.failureDomain,
			pool: announce.pool,
			state: toHostState(announce.state)
		}
		const {incarnation} = announce
		this.step({type: MembershipEventType.Announced, host, incarnation})
	}

	/**
	 * Sends every endpoint process a `ReportAck` with the configuration
	 * generation, the load demand of the other processes, the report intervals
	 * and, if changed, the hosts of its pool.
	 */
	sendAcks(): void {
		this.updateAdmittingCount()
		const sum = this.sumLoadDemand()
		for (const link of this.links.values()) {
			link.acknowledge(this.createAck(link, sum))
		}
	}

	close(): void {
		this.stop.abort()
		clearTimeout(this.ackTimer)
		clearTimeout(this.tickTimer)
		for (const link of this.links.values()) link.close()
		this.links.clear()
	}

	private isSuspect(hostId: string): boolean {
		const host = this.listHosts().find(({id}) => id === hostId)
		return host?.state === MembershipState.Suspect
	}

	private scheduleAcks(): void {
		this.ackTimer = setTimeout(() => {
			this.updatePace()
			this.sendAcks()
			this.scheduleAcks()
		}, this.pace.heartbeatMs)
	}

	private updatePace(): void {
		this.pace = chooseLinkIntervals(this.links.size, this.listHosts().length)
		this.membership.setHeartbeatTimeout(this.pace.heartbeatTimeoutMs)
	}

	private listPoolHosts(pool: string): ObservedHost[] {
		return this.membership.hosts().filter(host => host.pool === pool)
	}

	private async readHostList(): Promise<void> {
		try {
			const hosts = await this.options.platform.hosts()
			if (!this.isHostListReadable)
				this.options.log.info("host list was read from the platform")
			this.isHostListReadable = true
			this.step({type: MembershipEventType.Listed, hosts})
		} catch (err) {
			this.options.counters.add("hosts.unreadable")
			if (!this.isHostListReadable) return
			this.isHostListReadable = false
			const reason = messageOf(err)
			this.options.log.warn(
				"host list could not be read; the last known hosts stay in use",
				{reason}
			)
		}
	}

	private step(event: MembershipEvent): void {
		const actions = this.membership.step(event, Date.now())
		for (const action of actions) this.execute(action)
		this.scheduleTick()
	}

	private updateAdmittingCount(): void {
		const live = this.listHosts().filter(
			({state}) => state === MembershipState.Live
		)
		const admitting = live.filter(
			({id}) => this.links.get(id)?.createView(true).admitting === true
		)
		this.options.counters.set("hosts.admitting", admitting.length)
	}

	private execute(action: MembershipAction): void {
		const {hostId, address} = action
		switch (action.type) {
			case MembershipActionType.Connect:
				this.connect(hostId, address)
				return
			case MembershipActionType.Drop:
				this.options.log.info(
					"host was removed or moved; its link, if any, is closed",
					{peer: hostId}
				)
				this.links.get(hostId)?.close()
				this.links.delete(hostId)
				return
			case MembershipActionType.Admit:
				this.options.log.info("host is live; may get new requests", {
					peer: hostId
				})
				return
			case MembershipActionType.StopNewWork:
				this.options.log.info("host is not live; gets no new requests", {
					peer: hostId
				})
				if (this.isSuspect(hostId)) this.links.get(hostId)?.notifySuspect()
		}
	}

	private connect(hostId: string, address: string): void {
		let link = this.links.get(hostId)
		if (link !== undefined && link.client.address !== address) {
			link.close()
			link = undefined
		}
		link ??= new EndpointLink({
			hostId,
			address,
			tls: this.options.tls,
			onReport: (from, report) => {
				this.handleReport(from, report)
			},
			onReset: (from, isOpened) => {
				this.handleStreamReset(from, isOpened)
			}
		})
		this.links.set(hostId, link)
		link.open()
		link.acknowledge(this.createAck(link, this.sumLoadDemand()))
	}

	private handleReport(link: EndpointLink, report: Report): void {
		const {hostId} = link
		if (report.state === LinkHostState.LEAVING) {
			this.applyLeavingReport(link, report)
		}
		const {incarnation} = report
		this.step({type: MembershipEventType.Heard, hostId, incarnation})
		this.options.onGeneration(link.client.address, report.generation)
	}

	private applyLeavingReport(link: EndpointLink, report: Report): void {
		const host: HostRecord = {
			id: link.hostId,
			role: HostRole.Endpoint,
			address: link.client.address,
			failureDomain: report.failureDomain,
			pool: report.pool,
			state: toHostState(report.state)
		}
		const {incarnation} = report
		this.step({type: MembershipEventType.Announced, host, incarnation})
	}

	private handleStreamReset(link: EndpointLink, isOpened: boolean): void {
		const {hostId} = link
		if (this.links.get(hostId) !== link) return
		const incarnation = link.report?.incarnation ?? 0
		if (isOpened) {
			this.step({type: MembershipEventType.StreamReset, hostId, incarnation})
		} else {
			this.step({type: MembershipEventType.ConnectFailed, hostId})
		}
	}

	private scheduleTick(): void {
		clearTimeout(this.tickTimer)
		const at = this.membership.nextTickAt()
		if (!Number.isFinite(at)) return
		const waitMs = Math.max(1, at - Date.now())
		this.tickTimer = setTimeout(() => {
			this.step({type: MembershipEventType.Tick})
		}, waitMs)
	}

	/** Sums over all pools, because they share the weight store. */
	private sumLoadDemand(): FleetDemand {
		const sum: FleetDemand = {demand: 0, demanding: 0, processes: 0}
		for (const {report} of this.links.values()) {
			if (report === undefined || report.slots === 0) continue
			sum.demand += report.loadDemand
			sum.demanding += report.loadDemand > 0 ? 1 : 0
			sum.processes += 1
		}
		return sum
	}

	/**
	 * Returns the sorted ids of the hosts of a plain service's pool that take new
	 * requests. The pool's processes compute their home buckets from them. Empty
	 * for engine hosts, which have no home buckets.
	 */
	private listHomeCandidates(report: Report | undefined): string[] {
		if (report === undefined || report.slots > 0) return []
		return this.listAdmittingHosts(report.pool).sort()
	}

	private createAck(link: EndpointLink, sum: FleetDemand): AckContents {
		const own = link.report?.loadDemand ?? 0
		return {
			entryId: this.options.selfId,
			entryAddress: this.options.selfAddress,
			generation: this.options.generation(),
			fleetLoadDemand: Math.max(0, sum.demand - own),
			fleetDemanding: Math.max(0, sum.demanding - (own > 0 ? 1 : 0)),
			loadingProcesses: Math.max(1, sum.processes),
			heartbeatMs: this.pace.heartbeatMs,
			minReportMs: this.pace.minReportMs,
			poolHosts: this.listHomeCandidates(link.report)
		}
	}
}

function toHostState(state: LinkHostState): HostState {
	return state === LinkHostState.LEAVING ? HostState.Leaving : HostState.Live
}

function toHostRole(role: string): HostRole {
	const entry: string = HostRole.Entry
	return role === entry ? HostRole.Entry : HostRole.Endpoint
}
