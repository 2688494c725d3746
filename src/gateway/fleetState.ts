/**
 * What a gateway believes of the fleet: the configuration in force, the
 * endpoints and the newest versions of adapters. It only moves forward: an
 * older configuration or version is ignored, whatever the source.
 */
import {
	slotKey,
	type AnnouncedVersion,
	type EndpointPool,
	EndpointState,
	type FleetConfig,
	type FleetEndpoint,
	type ForwardRoute
} from "../contract/fleet.js"
import type {DecisionLog} from "../program/decisionLog.js"

export interface FleetListener {
	onConfig?(config: FleetConfig): void
	onEndpoints?(): void
	onVersion?(version: AnnouncedVersion): void
}

/**
 * Registrations may lapse while the store is away; those of live endpoints are
 * back within two seconds of its return.
 */
const lapseGraceMs = 2000

export class FleetState {
	private current: FleetConfig | undefined
	private readonly routesByHost = new Map<string, ForwardRoute[]>()
	private readonly pools = new Map<string, EndpointPool>()
	private readonly endpoints = new Map<string, FleetEndpoint>()
	/** Revisions at which registrations were removed. */
	private readonly removed = new Map<string, number>()
	private readonly versions = new Map<string, AnnouncedVersion>()
	/** Endpoints whose registration lapsed, with the time they count as gone. */
	private readonly lapsed = new Map<string, number>()
	/** Endpoints that another one has replaced at their address. */
	private readonly misplaced = new Set<string>()
	private readonly listeners: FleetListener[] = []

	constructor(private readonly log: DecisionLog) {}

	listen(listener: FleetListener): void {
		this.listeners.push(listener)
	}

	get config(): FleetConfig | undefined {
		return this.current
	}

	/** Puts a configuration in force; false when it is not newer. */
	applyConfig(config: FleetConfig, source: string): boolean {
		const known = this.current?.version ?? Number.NEGATIVE_INFINITY
		if (config.version <= known) return false
		this.current = config
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
		const {version, routes} = config
		this.log.decide("config.inForce", {version, routes: routes.length, source})
		for (const listener of this.listeners) listener.onConfig?.(config)
		return true
	}

	/** The route with the longest prefix of the path. */
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

	/** Endpoints of a pool that may get new work. */
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
			known?.state === EndpointState.Ready && !this.misplaced.has(endpoint.id)
		)
	}

	listEndpoints(): FleetEndpoint[] {
		return [...this.endpoints.values()]
	}

	/** Takes in a whole list; after an outage, what is missing may come back. */
	replaceEndpoints(
		list: readonly FleetEndpoint[],
		revision: number,
		isAfterOutage: boolean,
		now: number
	): void {
		const ids = new Set(list.map(({id}) => id))
		for (const id of this.endpoints.keys()) {
			if (ids.has(id)) continue
			if (isAfterOutage) this.lapse(id, now)
			else this.removeEndpoint(id, revision, "not listed")
		}
		for (const endpoint of list) this.putEndpoint(endpoint)
		this.notifyEndpoints()
	}

	applyEndpoint(endpoint: FleetEndpoint): void {
		this.putEndpoint(endpoint)
		this.notifyEndpoints()
	}

	applyRemoval(
		id: string,
		revision: number,
		isAfterOutage: boolean,
		now: number
	): void {
		if (isAfterOutage) this.lapse(id, now)
		else this.removeEndpoint(id, revision, "registration removed")
		this.notifyEndpoints()
	}

	/** Removes endpoints whose time to come back is over. */
	expireLapsed(now: number): void {
		for (const [id, goneAt] of this.lapsed) {
			if (now < goneAt) continue
			const revision = this.endpoints.get(id)?.revision ?? 0
			this.removeEndpoint(id, revision, "did not come back")
			this.notifyEndpoints()
		}
	}

	/** An endpoint with another identity answered at its address. */
	markMisplaced(id: string): void {
		if (this.misplaced.has(id) || !this.endpoints.has(id)) return
		this.misplaced.add(id)
		this.log.decide("endpoint.replaced", {endpoint: id})
		this.notifyEndpoints()
	}

	applyVersion(version: AnnouncedVersion): void {
		const key = slotKey(version.model, version.adapter)
		const known = this.versions.get(key)
		if (known !== undefined && known.version >= version.version) return
		this.versions.set(key, version)
		this.log.decide("version.newest", {...version})
		for (const listener of this.listeners) listener.onVersion?.(version)
	}

	/** Lowest version that may serve; 0 when none was announced. */
	getVersion(model: string, adapter: string): number {
		return this.versions.get(slotKey(model, adapter))?.version ?? 0
	}

	/** Revision at which a registration was removed; 0 if it never was. */
	getRemovedAt(id: string): number {
		return this.removed.get(id) ?? 0
	}

	listVersions(): AnnouncedVersion[] {
		return [...this.versions.values()]
	}

	private putEndpoint(endpoint: FleetEndpoint): void {
		const {id, pool, state, address} = endpoint
		const known = this.endpoints.get(id)
		const knownRevision = known?.revision ?? this.removed.get(id) ?? 0
		// Another source may have told of a later change already.
		if (endpoint.revision < knownRevision) return
		this.lapsed.delete(id)
		this.removed.delete(id)
		const isNewLife = known !== undefined && known.bornAt !== endpoint.bornAt
		if (isNewLife || known?.address !== address) this.misplaced.delete(id)
		this.endpoints.set(id, endpoint)
		if (known?.state === state && !isNewLife) return
		this.log.decide("endpoint.state", {endpoint: id, pool, state, address})
	}

	private lapse(id: string, now: number): void {
		if (this.lapsed.has(id) || !this.endpoints.has(id)) return
		this.lapsed.set(id, now + lapseGraceMs)
		this.log.decide("endpoint.lapsed", {endpoint: id})
	}

	private removeEndpoint(id: string, revision: number, reason: string): void {
		const known = this.endpoints.get(id)
		if (known !== undefined && known.revision > revision) return
		this.removed.set(id, revision)
		this.lapsed.delete(id)
		this.misplaced.delete(id)
		if (!this.endpoints.delete(id)) return
		this.log.decide("endpoint.gone", {endpoint: id, reason})
	}

	private notifyEndpoints(): void {
		for (const listener of this.listeners) listener.onEndpoints?.()
	}
}
