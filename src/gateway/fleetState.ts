/**
 * A gateway's view of the fleet: the configuration in force, the registered
 * endpoints and the newest announced adapter versions. Updates arrive from the
 * store and from other gateways in any order; an update with an older version or
 * revision than the known one is ignored.
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
 * Registrations can expire while the store is down, because endpoints can't renew
 * them. Live endpoints register again within two seconds after it is back up.
 */
const reregistrationGraceMs = 2000

export class FleetState {
	private configInForce: FleetConfig | undefined
	private readonly routesByHost = new Map<string, ForwardRoute[]>()
	private readonly pools = new Map<string, EndpointPool>()
	private readonly endpoints = new Map<string, FleetEndpoint>()
	/** Store revision at which each removed registration was removed, by id. */
	private readonly removalRevisions = new Map<string, number>()
	private readonly versions = new Map<string, AnnouncedVersion>()
	/**
	 * Endpoints whose registration is missing after a store outage, with the time
	 * at which they are removed unless they register again.
	 */
	private readonly pendingRemovals = new Map<string, number>()
	/** Endpoints at whose address a different endpoint answers. */
	private readonly replacedIds = new Set<string>()
	private readonly listeners: FleetListener[] = []

	constructor(private readonly log: DecisionLog) {}

	addListener(listener: FleetListener): void {
		this.listeners.push(listener)
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
		const {version, routes} = config
		this.log.decide("config.inForce", {version, routes: routes.length, source})
		for (const listener of this.listeners) listener.onConfig?.(config)
		return true
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

	listEndpoints(): FleetEndpoint[] {
		return [...this.endpoints.values()]
	}

	/**
	 * Applies a complete list of endpoints. Endpoints that are not on it are removed,
	 * after a store outage only once `reregistrationGraceMs` has passed.
	 */
	replaceEndpoints(
		list: readonly FleetEndpoint[],
		revision: number,
		isAfterOutage: boolean,
		now: number
	): void {
		const ids = new Set(list.map(({id}) => id))
		for (const id of this.endpoints.keys()) {
			if (ids.has(id)) continue
			if (isAfterOutage) this.startGracePeriod(id, now)
			else this.removeEndpoint(id, revision, "missing from the store's list")
		}
		for (const endpoint of list) this.putEndpoint(endpoint)
		this.notifyEndpointsChanged()
	}

	/** Adds or updates one endpoint. */
	applyEndpoint(endpoint: FleetEndpoint): void {
		this.putEndpoint(endpoint)
		this.notifyEndpointsChanged()
	}

	/** Removes an endpoint, after a store outage only once the grace has passed. */
	applyRemoval(
		id: string,
		revision: number,
		isAfterOutage: boolean,
		now: number
	): void {
		if (isAfterOutage) this.startGracePeriod(id, now)
		else this.removeEndpoint(id, revision, "registration removed")
		this.notifyEndpointsChanged()
	}

	/** Removes endpoints that did not register again within the grace period. */
	removeExpired(now: number): void {
		for (const [id, removeAt] of this.pendingRemovals) {
			if (now < removeAt) continue
			const revision = this.endpoints.get(id)?.revision ?? 0
			this.removeEndpoint(id, revision, "not registered again after an outage")
			this.notifyEndpointsChanged()
		}
	}

	/** Stops new requests to an endpoint at whose address another one answered. */
	markReplaced(id: string): void {
		if (this.replacedIds.has(id) || !this.endpoints.has(id)) return
		this.replacedIds.add(id)
		this.log.decide("endpoint.replaced", {endpoint: id})
		this.notifyEndpointsChanged()
	}

	applyVersion(version: AnnouncedVersion): void {
		const key = slotKey(version.model, version.adapter)
		const known = this.versions.get(key)
		if (known !== undefined && known.version >= version.version) return
		this.versions.set(key, version)
		this.log.decide("version.newest", {...version})
		for (const listener of this.listeners) listener.onVersion?.(version)
	}

	/** Lowest version that may serve: the newest announced one, 0 if none was. */
	getMinVersion(model: string, adapter: string): number {
		return this.versions.get(slotKey(model, adapter))?.version ?? 0
	}

	/** Store revision at which a registration was removed; 0 if it was not. */
	getRemovalRevision(id: string): number {
		return this.removalRevisions.get(id) ?? 0
	}

	listVersions(): AnnouncedVersion[] {
		return [...this.versions.values()]
	}

	private putEndpoint(endpoint: FleetEndpoint): void {
		const {id, pool, state, address} = endpoint
		const known = this.endpoints.get(id)
		const knownRevision = known?.revision ?? this.removalRevisions.get(id) ?? 0
		// Another source may already have delivered a later change.
		if (endpoint.revision < knownRevision) return
		this.pendingRemovals.delete(id)
		this.removalRevisions.delete(id)
		const isRestart = known !== undefined && known.bornAt !== endpoint.bornAt
		if (isRestart || known?.address !== address) this.replacedIds.delete(id)
		this.endpoints.set(id, endpoint)
		if (known?.state === state && !isRestart) return
		this.log.decide("endpoint.state", {endpoint: id, pool, state, address})
	}

	private startGracePeriod(id: string, now: number): void {
		if (this.pendingRemovals.has(id) || !this.endpoints.has(id)) return
		this.pendingRemovals.set(id, now + reregistrationGraceMs)
		this.log.decide("endpoint.lapsed", {endpoint: id})
	}

	private removeEndpoint(id: string, revision: number, reason: string): void {
		const known = this.endpoints.get(id)
		if (known !== undefined && known.revision > revision) return
		this.removalRevisions.set(id, revision)
		this.pendingRemovals.delete(id)
		this.replacedIds.delete(id)
		if (!this.endpoints.delete(id)) return
		this.log.decide("endpoint.gone", {endpoint: id, reason})
	}

	private notifyEndpointsChanged(): void {
		for (const listener of this.listeners) listener.onEndpoints?.()
	}
}
