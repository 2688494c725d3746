/**
 * A gateway's view of the fleet: the configuration in force, the registered
 * endpoints and the newest announced adapter versions. Updates arrive from the
 * store and from other gateways in any order; an update with an older version, or
 * of an earlier store era or revision than the known one, is ignored.
 */
import {
	slotKey,
	type AnnouncedVersion,
	type EndpointPool,
	EndpointState,
	type FleetConfig,
	type FleetEndpoint,
	type ForwardRoute,
	type Member
} from "../../contract/fleet.js"
import {
	compareRevisions,
	Departures,
	type Registration,
	reregistrationMs,
	Standing,
	type StoreRevision,
	withholdMs
} from "../../policy/registrations/index.js"
import type {DecisionLog} from "../../program/decisionLog.js"
import {AnnouncedVersions} from "./announcedVersions.js"

export interface FleetListener {
	onConfig?(config: FleetConfig): void
	onEndpoints?(): void
	onVersion?(version: AnnouncedVersion): void
}

export class FleetState {
	private configInForce: FleetConfig | undefined
	private readonly routesByHost = new Map<string, ForwardRoute[]>()
	private readonly pools = new Map<string, EndpointPool>()
	private readonly membersByKey = new Map<string, Member>()
	private readonly endpoints = new Map<string, FleetEndpoint>()
	private readonly departures = new Departures()
	/**
	 * Registrations of removed endpoints that a copy of the store brought back, with
	 * the time at which they are used if they are still listed.
	 */
	private readonly withheld = new Map<
		string,
		{endpoint: FleetEndpoint; admitAt: number}
	>()
	private knownEra = 0
	private readonly versions = new AnnouncedVersions()
	/**
	 * Endpoints whose registration is missing after a store outage, with the time
	 * at which they are removed unless they register again after that revision.
	 */
	private readonly pendingRemovals = new Map<
		string,
		{removeAt: number; at: StoreRevision}
	>()
	/** Endpoints at whose address a different endpoint answers. */
	private readonly replacedIds = new Set<string>()
	private readonly listeners: FleetListener[] = []

	constructor(private readonly log: DecisionLog) {}

	addListener(listener: FleetListener): void {
		this.listeners.push(listener)
	}

	/** Latest era of the store that any update belonged to. */
	get era(): number {
		return this.knownEra
	}

	/**
	 * Records the store era of an update. Returns false if the update belongs to an
	 * earlier era than the latest, so that it must be dropped.
	 */
	noteEra(era: number, source: string): boolean {
		if (era < this.knownEra) {
			this.log.decide("update.earlierEra", {source, era, known: this.knownEra})
			return false
		}
		if (era > this.knownEra) {
			this.log.decide("store.era", {source, era, previous: this.knownEra})
			this.knownEra = era
		}
		return true
	}

	get config(): FleetConfig | undefined {
		return this.configInForce
	}

	/** Puts a configuration in force; returns false if it is not newer. */
	applyConfig(config: FleetConfig, source: string): boolean {
		const known = this.configInForce?.version ?? Number.NEGATIVE_INFINITY
		if (config.version <= known) return false
		this.configInForce = config
		this.routesByHost.clear()
		this.pools.clear()
		for (const route of config.routes) {
			const routes = this.routesByHost.get(route.host)
			if (routes === undefined) this.routesByHost.set(route.host, [route])
			else routes.push(route)
		}
		for (const routes of this.routesByHost.values()) {
			routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
		}
		for (const pool of config.pools) this.pools.set(pool.name, pool)
		this.indexMembers(config.members ?? [])
		const {version, routes, members = []} = config
		this.log.decide("config.inForce", {
			version,
			routes: routes.length,
			members: members.length,
			source
		})
		for (const listener of this.listeners) listener.onConfig?.(config)
		return true
	}

	/** Whether callers need a key on routes that aren't public. */
	get hasMembers(): boolean {
		return (this.configInForce?.members?.length ?? 0) > 0
	}

	findMember(key: string): Member | undefined {
		return this.membersByKey.get(key)
	}

	/** The route of the host whose path prefix is the longest that matches. */
	findRoute(host: string, path: string): ForwardRoute | undefined {
		const routes = this.routesByHost.get(host) ?? []
		return routes.find(({pathPrefix}) => path.startsWith(pathPrefix))
	}

	getPool(name: string): EndpointPool | undefined {
		return this.pools.get(name)
	}

	getEndpoint(id: string): FleetEndpoint | undefined {
		return this.endpoints.get(id)
	}

	/** Endpoints of a pool that accept new requests. */
	listReady(pool: string): FleetEndpoint[] {
		const ready: FleetEndpoint[] = []
		for (const endpoint of this.endpoints.values()) {
			if (endpoint.pool === pool && this.isReady(endpoint)) ready.push(endpoint)
		}
		return ready
	}

	isReady(endpoint: FleetEndpoint): boolean {
		const known = this.endpoints.get(endpoint.id)
		return (
			known?.state === EndpointState.Ready && !this.replacedIds.has(endpoint.id)
		)
	}

	/** Whether an endpoint that started later is registered at the same address. */
	hasSuccessor({address, bornAt}: FleetEndpoint): boolean {
		for (const other of this.endpoints.values())
			if (other.address === address && other.bornAt > bornAt) return true
		return false
	}

	listEndpoints(): FleetEndpoint[] {
		return [...this.endpoints.values()]
	}

	/** Whether the endpoint's registration is missing, and its removal waits. */
	isLapsed(id: string): boolean {
		return this.pendingRemovals.has(id)
	}

	/**
	 * Applies a complete list of endpoints. Endpoints that are not on it are removed at
	 * `lapsedUntil`, or at once if that has passed; in a new era of the store not before
	 * they had the time to register again.
	 */
	replaceEndpoints(
		list: readonly FleetEndpoint[],
		at: StoreRevision,
		lapsedUntil: number,
		now: number
	): void {
		const isNewEra = at.era > this.knownEra
		const removeAt = isNewEra
			? Math.max(lapsedUntil, now + reregistrationMs)
			: lapsedUntil
		if (!this.noteEra(at.era, "list")) return
		const ids = new Set(list.map(({id}) => id))
		for (const id of this.withheld.keys()) {
			if (!ids.has(id)) this.withheld.delete(id)
		}
		for (const id of this.endpoints.keys()) {
			if (ids.has(id)) continue
			if (removeAt > now) this.startGracePeriod(id, at, removeAt)
			else this.removeEndpoint(id, at, "missing from the store's list")
		}
		for (const endpoint of list) this.putEndpoint(endpoint, now)
		this.notifyEndpointsChanged()
	}

	/** Adds or updates one endpoint. */
	applyEndpoint(endpoint: FleetEndpoint, now: number): void {
		this.putEndpoint(endpoint, now)
		this.notifyEndpointsChanged()
	}

	/** Applies changes that another gateway published, as one change. */
	applyPublished(
		endpoints: readonly FleetEndpoint[],
		removals: readonly Registration[],
		now: number
	): void {
		if (endpoints.length === 0 && removals.length === 0) return
		for (const endpoint of endpoints) this.putEndpoint(endpoint, now)
		for (const removal of removals) {
			const {id, bornAt} = removal
			this.withheld.delete(id)
			this.removeEndpoint(id, removal, "removal was published", bornAt)
		}
		this.notifyEndpointsChanged()
	}

	/** Removes an endpoint at `lapsedUntil`, or at once if that has passed. */
	applyRemoval(
		id: string,
		at: StoreRevision,
		lapsedUntil: number,
		now: number
	): void {
		this.withheld.delete(id)
		if (lapsedUntil > now) this.startGracePeriod(id, at, lapsedUntil)
		else this.removeEndpoint(id, at, "registration removed")
		this.notifyEndpointsChanged()
	}

	/**
	 * Removes endpoints that did not register again within the grace period, and
	 * admits those that a copy of the store brought back and that are still listed.
	 */
	settleRegistrations(now: number): void {
		for (const [id, {removeAt, at}] of this.pendingRemovals) {
			if (now < removeAt) continue
			this.removeEndpoint(id, at, "not registered again after an outage")
			this.notifyEndpointsChanged()
		}
		for (const [id, {endpoint, admitAt}] of this.withheld) {
			if (now < admitAt) continue
			this.departures.deleteRemoval(id)
			this.putEndpoint(endpoint, now)
			this.notifyEndpointsChanged()
		}
	}

	/**
	 * Stops new requests to an endpoint that stated in an answer that it is leaving,
	 * also if it is not registered yet. Returns false if that was known, or if another
	 * incarnation is registered.
	 */
	markLeaving(id: string, bornAt: number, source: string): boolean {
		const known = this.endpoints.get(id)
		if (known === undefined) {
			this.departures.addStatement(id, bornAt)
			return true
		}
		if (known.bornAt !== bornAt) return false
		this.departures.addStatement(id, bornAt)
		if (known.state === EndpointState.Draining) return false
		this.endpoints.set(id, {...known, state: EndpointState.Draining})
		this.log.decide("endpoint.leaving", {endpoint: id, source})
		this.notifyEndpointsChanged()
		return true
	}

	/** Stops new requests to an endpoint at whose address another one answered. */
	markReplaced(id: string): void {
		if (this.replacedIds.has(id) || !this.endpoints.has(id)) return
		this.replacedIds.add(id)
		this.log.decide("endpoint.replaced", {endpoint: id})
		this.notifyEndpointsChanged()
	}

	/**
	 * Applies an announced version. `heardAt` is the time of its announcement as far as
	 * is known; by default it may be long ago, as for a version found in a list.
	 */
	applyVersion(
		version: AnnouncedVersion,
		heardAt = Number.NEGATIVE_INFINITY
	): void {
		if (!this.versions.add(version, heardAt)) return
		this.log.decide("version.newest", {...version})
		for (const listener of this.listeners) listener.onVersion?.(version)
	}

	/** The newest announced version of the adapter with this slot key. */
	findVersion(key: string): AnnouncedVersion | undefined {
		return this.versions.find(key)
	}

	/** Time since the newest version was announced; infinite if that is not known. */
	getVersionAgeMs(model: string, adapter: string, now: number): number {
		return this.versions.getAgeMs(slotKey(model, adapter), now)
	}

	/** Lowest version that may serve: the newest announced one, 0 if none was. */
	getMinVersion(model: string, adapter: string): number {
		return this.versions.find(slotKey(model, adapter))?.version ?? 0
	}

	/** Registrations that were removed, each with the revision of its removal. */
	listRemovals(): Registration[] {
		return this.departures.listRemovals()
	}

	listVersions(): AnnouncedVersion[] {
		return this.versions.list()
	}

	private indexMembers(members: readonly Member[]): void {
		this.membersByKey.clear()
		for (const member of members) {
			for (const key of member.keys) {
				// An empty header counts as no key. Of two Members with one key, the first
				// has it.
				if (key === "" || this.membersByKey.has(key)) continue
				this.membersByKey.set(key, member)
			}
		}
	}

	private putEndpoint(endpoint: FleetEndpoint, now: number): void {
		const {id, pool, address, build} = endpoint
		const known = this.endpoints.get(id)
		// Another source may already have delivered a later change.
		if (known !== undefined && compareRevisions(endpoint, known) < 0) return
		// Another gateway may still list what this one knows to be missing since.
		const pending = this.pendingRemovals.get(id)
		if (pending !== undefined && compareRevisions(endpoint, pending.at) <= 0)
			return
		const standing = this.departures.judge(endpoint)
		if (standing === Standing.Outdated) return
		if (standing === Standing.Withheld) {
			this.withhold(endpoint, now)
			return
		}
		const isLeaving = standing === Standing.Leaving
		const state = isLeaving ? EndpointState.Draining : endpoint.state
		this.withheld.delete(id)
		if (this.pendingRemovals.delete(id)) {
			const {revision} = endpoint
			this.log.decide("endpoint.returned", {
				endpoint: id,
				revision,
				known: known?.revision
			})
		}
		this.departures.deleteRemoval(id)
		if (state === EndpointState.Draining) this.departures.addDrain(endpoint)
		else this.departures.deleteDrain(id)
		const isRestart = known !== undefined && known.bornAt !== endpoint.bornAt
		if (isRestart || known?.address !== address) this.replacedIds.delete(id)
		this.endpoints.set(id, {...endpoint, state})
		if (known?.state === state && !isRestart) return
		this.log.decide("endpoint.state", {
			endpoint: id,
			pool,
			state,
			address,
			build
		})
	}

	private withhold(endpoint: FleetEndpoint, now: number): void {
		const {id} = endpoint
		const admitAt = this.withheld.get(id)?.admitAt ?? now + withholdMs
		if (!this.withheld.has(id))
			this.log.decide("endpoint.withheld", {endpoint: id, era: endpoint.era})
		this.withheld.set(id, {endpoint, admitAt})
	}

	private startGracePeriod(
		id: string,
		at: StoreRevision,
		removeAt: number
	): void {
		const known = this.endpoints.get(id)
		if (known === undefined || compareRevisions(known, at) > 0) return
		const pending = this.pendingRemovals.get(id)
		this.pendingRemovals.set(id, {removeAt: pending?.removeAt ?? removeAt, at})
		if (pending === undefined)
			this.log.decide("endpoint.lapsed", {endpoint: id})
	}

	private removeEndpoint(
		id: string,
		at: StoreRevision,
		reason: string,
		removedBirth = 0
	): void {
		const known = this.endpoints.get(id)
		if (known !== undefined && compareRevisions(known, at) > 0) return
		const {era, revision} = at
		const bornAt = known?.bornAt ?? removedBirth
		this.departures.addRemoval({id, bornAt, era, revision})
		this.pendingRemovals.delete(id)
		this.replacedIds.delete(id)
		if (!this.endpoints.delete(id)) return
		this.log.decide("endpoint.gone", {endpoint: id, reason})
	}

	private notifyEndpointsChanged(): void {
		for (const listener of this.listeners) listener.onEndpoints?.()
	}
}
