/**
 * The hosts that this entry knows. The task reads the platform's list, holds
 * the links to the endpoint processes and carries out what the membership
 * decisions say.
 */
import {
	type Announce,
	HostState as LinkHostState,
	type Report
} from "../contract/gen/link_pb.js"
import {HostRole, HostState} from "../host/host.js"
import type {HostRecord, Platform, TlsKeys} from "../link/index.js"
import {choosePace, type EndpointView} from "../policy/index.js"
import {Membership} from "../policy/membership.js"
import {
	type MemberHost,
	type MembershipAction,
	MembershipActionType,
	type MembershipEvent,
	MembershipEventType,
	MemberState
} from "../policy/memberTypes.js"
import type {Counters} from "../program/counters.js"
import type {Log} from "../program/log.js"
import {messageOf, sleep} from "../utils/common.js"
import {type AckFigures, EndpointLink} from "./endpointLink.js"

export interface FleetOptions {
	selfId: string
	selfAddress: string
	platform: Platform
	tls: TlsKeys | undefined
	counters: Counters
	log: Log
	generation: () => number
	/** Called when any host reports a generation. */
	onGeneration: (address: string, generation: number) => void
}

/** Adapter loads wanted over all endpoint processes. */
interface FleetDemand {
	demand: number
	demanding: number
	processes: number
}

export class Fleet {
	private readonly options: FleetOptions
	private readonly membership: Membership
	private readonly links = new Map<string, EndpointLink>()
	private readonly stop = new AbortController()
	private pace = choosePace(0, 0)
	private ackTimer: NodeJS.Timeout | undefined
	private tickTimer: NodeJS.Timeout | undefined
	private isListKnown = false

	constructor(options: FleetOptions) {
		this.options = options
		this.membership = new Membership({
			selfId: options.selfId,
			heartbeatTimeoutMs: this.pace.heartbeatTimeoutMs
		})
		this.scheduleAcks()
	}

	/** Reads the platform's list until `close`. */
	async run(): Promise<void> {
		while (!this.stop.signal.aborted) {
			await this.readList()
			await sleep(this.pace.listIntervalMs, this.stop.signal)
		}
	}

	/** True when some endpoint process of the pool can take work. */
	isServing(pool: string): boolean {
		return this.views(pool).some(view => view.admitting)
	}

	/** Endpoint processes of a pool, as the router sees them. */
	views(pool: string): EndpointView[] {
		return this.poolHosts(pool).flatMap(host => {
			const link = this.links.get(host.id)
			if (link === undefined) return []
			return [link.view(host.state === MemberState.Live)]
		})
	}

	/** Hosts of a pool that may get new work. */
	admitting(pool: string): string[] {
		const views = this.views(pool).filter(view => view.admitting)
		return views.map(view => view.id)
	}

	/** Hosts of a pool that take no work now and may have left calls behind. */
	recentlyAway(pool: string): string[] {
		const gone = this.membership.recentlyGone()
		const away = this.hosts().filter(({state}) => state !== MemberState.Live)
		const hosts = [...gone, ...away].filter(host => host.pool === pool)
		return hosts.map(host => host.id)
	}

	link(hostId: string): EndpointLink | undefined {
		return this.links.get(hostId)
	}

	linkAt(address: string): EndpointLink | undefined {
		const links = [...this.links.values()]
		return links.find(link => link.client.address === address)
	}

	hosts(): readonly MemberHost[] {
		return this.membership.hosts()
	}

	/** Addresses of the other entries in the platform's list. */
	entryAddresses(): string[] {
		const entries = this.hosts().filter(host => host.role === HostRole.Entry)
		return entries.map(host => host.address)
	}

	/** Takes what a host says of itself. */
	hearAnnounce(announce: Announce): void {
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

	/** Tells every endpoint process this entry's generation now. */
	acknowledgeAll(): void {
		this.countAdmitting()
		const sum = this.sumDemand()
		for (const link of this.links.values()) {
			link.acknowledge(this.ackFor(link, sum))
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
		const host = this.hosts().find(({id}) => id === hostId)
		return host?.state === MemberState.Suspect
	}

	private scheduleAcks(): void {
		this.ackTimer = setTimeout(() => {
			this.updatePace()
			this.acknowledgeAll()
			this.scheduleAcks()
		}, this.pace.heartbeatMs)
	}

	private updatePace(): void {
		this.pace = choosePace(this.links.size, this.hosts().length)
		this.membership.setHeartbeatTimeout(this.pace.heartbeatTimeoutMs)
	}

	private poolHosts(pool: string): MemberHost[] {
		return this.membership.hosts().filter(host => host.pool === pool)
	}

	private async readList(): Promise<void> {
		try {
			const hosts = await this.options.platform.hosts()
			if (!this.isListKnown) this.options.log.info("host list read")
			this.isListKnown = true
			this.step({type: MembershipEventType.Listed, hosts})
		} catch (err) {
			this.options.counters.add("hosts.unreadable")
			if (!this.isListKnown) return
			this.isListKnown = false
			const reason = messageOf(err)
			this.options.log.warn("host list is not readable", {reason})
		}
	}

	private step(event: MembershipEvent): void {
		const actions = this.membership.step(event, Date.now())
		for (const action of actions) this.carryOut(action)
		this.scheduleTick()
	}

	private countAdmitting(): void {
		const live = this.hosts().filter(({state}) => state === MemberState.Live)
		const admitting = live.filter(
			({id}) => this.links.get(id)?.view(true).admitting === true
		)
		this.options.counters.set("hosts.admitting", admitting.length)
	}

	private carryOut(action: MembershipAction): void {
		const {hostId, address} = action
		switch (action.type) {
			case MembershipActionType.Connect:
				this.connect(hostId, address)
				return
			case MembershipActionType.Drop:
				this.options.log.info("host is gone", {peer: hostId})
				this.links.get(hostId)?.close()
				this.links.delete(hostId)
				return
			case MembershipActionType.Admit:
				this.options.log.info("host gets new work", {peer: hostId})
				return
			case MembershipActionType.StopNewWork:
				this.options.log.info("host gets no new work", {peer: hostId})
				if (this.isSuspect(hostId)) this.links.get(hostId)?.suspect()
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
				this.hearReport(from, report)
			},
			onReset: (from, isOpened) => {
				this.hearReset(from, isOpened)
			}
		})
		this.links.set(hostId, link)
		link.open()
		link.acknowledge(this.ackFor(link, this.sumDemand()))
	}

	private hearReport(link: EndpointLink, report: Report): void {
		const {hostId} = link
		if (report.state === LinkHostState.LEAVING) {
			this.announceFrom(link, report)
		}
		const {incarnation} = report
		this.step({type: MembershipEventType.Heard, hostId, incarnation})
		this.options.onGeneration(link.client.address, report.generation)
	}

	private announceFrom(link: EndpointLink, report: Report): void {
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

	private hearReset(link: EndpointLink, isOpened: boolean): void {
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

	/** The weight store is shared by all pools, so the sum spans them. */
	private sumDemand(): FleetDemand {
		const sum: FleetDemand = {demand: 0, demanding: 0, processes: 0}
		for (const {report} of this.links.values()) {
			if (report === undefined || report.slots === 0) continue
			sum.demand += report.loadDemand
			sum.demanding += report.loadDemand > 0 ? 1 : 0
			sum.processes += 1
		}
		return sum
	}

	/** Only the hosts of plain services need to know each other. */
	private listServiceHosts(report: Report | undefined): string[] {
		if (report === undefined || report.slots > 0) return []
		return this.admitting(report.pool).sort()
	}

	private ackFor(link: EndpointLink, sum: FleetDemand): AckFigures {
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
			poolHosts: this.listServiceHosts(link.report)
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
