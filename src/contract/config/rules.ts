/**
 * Rules between fields and between sections. They read the raw data, so that
 * a fault in one field does not hide those of others.
 */
import type {ConfigFault} from "./faults.js"
import {isIdempotentMethod} from "./schema.js"
import {isRecord, type Item, itemFault, type Sections} from "./sections.js"
import {KeyRule, PoolType} from "./types.js"

interface Entry {
	item: Item
	raw: Record<string, unknown>
}

interface Check {
	sections: Sections
	faults: ConfigFault[]
	failureDomains: ReadonlySet<string>
	baseModels: ReadonlySet<string>
	pools: ReadonlyMap<string, Record<string, unknown>>
	routes: ReadonlySet<string>
}

/** Adds a fault for each rule that is broken. */
export function checkRules(sections: Sections, faults: ConfigFault[]): void {
	const {lists} = sections
	const check: Check = {
		sections,
		faults,
		failureDomains: findNames(lists.failureDomains, faults),
		baseModels: findNames(lists.baseModels, faults),
		pools: new Map(
			entriesOf(lists.pools).map(({raw}) => [String(raw.name), raw])
		),
		routes: findNames(lists.routes, faults)
	}
	findNames(lists.pools, faults)
	findNames(lists.serviceLevels, faults)
	for (const entry of entriesOf(lists.pools)) checkPool(entry, check)
	for (const entry of entriesOf(lists.routes)) checkRoute(entry, check)
	checkPaths(entriesOf(lists.routes), faults)
	for (const entry of entriesOf(lists.serviceLevels)) {
		checkReferences(entry, "routes", check.routes, "route", faults)
	}
	checkAdapters(entriesOf(lists.adapters), check)
	checkObjective(sections, faults)
}

/** Names in a list, with a fault for each that stands twice. */
function findNames(items: readonly Item[], faults: ConfigFault[]): Set<string> {
	const firsts = new Map<string, Item>()
	for (const item of items) {
		const name = isRecord(item.raw) ? item.raw.name : item.raw
		if (typeof name !== "string") continue
		const first = firsts.get(name)
		if (first === undefined) firsts.set(name, item)
		else faults.push(itemFault(item, ["name"], describeTwin(name, first)))
	}
	return new Set(firsts.keys())
}

function describeTwin(name: string, first: Item): string {
	const {file, line} = itemFault(first, [], "")
	return `${name} is already declared at ${file}:${line}`
}

function checkPool({item, raw}: Entry, check: Check): void {
	const {faults} = check
	const isGiven = (field: string): boolean => (raw[field] ?? 0) !== 0
	checkReferences(
		{item, raw},
		"failureDomains",
		check.failureDomains,
		"failure domain",
		faults
	)
	if (Array.isArray(raw.failureDomains) && raw.failureDomains.length === 0) {
		const reason = "expected at least one failure domain; omit for all"
		faults.push(itemFault(item, ["failureDomains"], reason))
	}
	if (raw.type === PoolType.Service) {
		for (const field of ["slots", "baseModel", "msPerToken"]) {
			if (!isGiven(field)) continue
			faults.push(itemFault(item, [field], `a service pool takes no ${field}`))
		}
		return
	}
	if (raw.type !== PoolType.Engines) return
	if (raw.slots === 0) {
		const reason = "an engine pool needs at least one slot"
		faults.push(itemFault(item, ["slots"], reason))
	}
	if (isGiven("callMs")) {
		faults.push(itemFault(item, ["callMs"], "an engine pool takes no callMs"))
	}
	if (raw.baseModel === undefined) {
		const reason = "an engine pool needs a baseModel"
		faults.push(itemFault(item, ["baseModel"], reason))
		return
	}
	checkReference(
		item,
		["baseModel"],
		raw.baseModel,
		check.baseModels,
		"base model",
		faults
	)
}

function checkRoute(entry: Entry, check: Check): void {
	const {item, raw} = entry
	const {faults, pools} = check
	const names = new Set(pools.keys())
	checkReference(item, ["pool"], raw.pool, names, "pool", faults)
	checkRepeats(entry, faults)
	const type = pools.get(String(raw.pool))?.type
	if (type === PoolType.Engines) checkEngineRoute(entry, faults)
	if (type === PoolType.Service) checkServiceRoute(entry, faults)
}

function checkRepeats({item, raw}: Entry, faults: ConfigFault[]): void {
	const idempotent = raw.idempotent ?? isIdempotentMethod(raw.method)
	if (idempotent !== false) return
	if (typeof raw.maxAttempts === "number" && raw.maxAttempts > 1) {
		const reason = "a route that is not idempotent takes one attempt"
		faults.push(itemFault(item, ["maxAttempts"], reason))
	}
	if (raw.key === KeyRule.None) {
		const reason =
			"a route that is not idempotent needs key optional or required"
		faults.push(itemFault(item, ["key"], reason))
	}
	if (raw.coalesce === true) {
		const reason = "a route that is not idempotent is never coalesced"
		faults.push(itemFault(item, ["coalesce"], reason))
	}
}

function checkEngineRoute({item, raw}: Entry, faults: ConfigFault[]): void {
	for (const field of ["method", "path"]) {
		if (raw[field] === undefined) continue
		const reason = `a route to an engine pool takes no ${field}`
		faults.push(itemFault(item, [field], reason))
	}
	if (raw.class === "status" || raw.class === "booking") {
		const reason = "a route to an engine pool is interactive or deferrable"
		faults.push(itemFault(item, ["class"], reason))
	}
	if (raw.idempotent === false) {
		const reason = "a route to an engine pool is idempotent"
		faults.push(itemFault(item, ["idempotent"], reason))
	}
}

function checkServiceRoute({item, raw}: Entry, faults: ConfigFault[]): void {
	for (const field of ["method", "path"]) {
		if (raw[field] !== undefined) continue
		const reason = `a route to a service pool needs a ${field}`
		faults.push(itemFault(item, [field], reason))
	}
	if (raw.class === "interactive" || raw.class === "deferrable") {
		const reason = "a route to a service pool is status or booking"
		faults.push(itemFault(item, ["class"], reason))
	}
	if (raw.coalesce === true && !isIdempotentMethod(raw.method)) {
		const reason = "only GET and HEAD calls are coalesced"
		faults.push(itemFault(item, ["coalesce"], reason))
	}
}

/** Two routes must not match the same call. */
function checkPaths(entries: readonly Entry[], faults: ConfigFault[]): void {
	const firsts = new Map<string, string>()
	for (const {item, raw} of entries) {
		if (typeof raw.path !== "string") continue
		const pattern = raw.path.replace(/:\w+/g, ":")
		const call = `${String(raw.method)} ${pattern}`
		const first = firsts.get(call)
		if (first === undefined) firsts.set(call, String(raw.name))
		else {
			const reason = `matches the same calls as route ${first}`
			faults.push(itemFault(item, ["path"], reason))
		}
	}
}

function checkAdapters(entries: readonly Entry[], check: Check): void {
	const firsts = new Map<string, Item>()
	for (const {item, raw} of entries) {
		const {base, name, versions} = raw
		checkReference(
			item,
			["base"],
			base,
			check.baseModels,
			"base model",
			check.faults
		)
		const key = `${String(base)}:${String(name)}`
		const first = firsts.get(key)
		if (first === undefined) firsts.set(key, item)
		else check.faults.push(itemFault(item, ["name"], describeTwin(key, first)))
		checkVersions(item, versions, check.faults)
	}
}

function checkVersions(
	item: Item,
	versions: unknown,
	faults: ConfigFault[]
): void {
	if (!Array.isArray(versions)) return
	const seen = new Set<unknown>()
	versions.forEach((entry: unknown, index) => {
		const version = isRecord(entry) ? entry.version : undefined
		if (typeof version !== "string") return
		if (seen.has(version)) {
			const path = ["versions", index, "version"]
			faults.push(itemFault(item, path, `version ${version} stands twice`))
		}
		seen.add(version)
	})
}

function checkObjective(sections: Sections, faults: ConfigFault[]): void {
	const item = sections.singles.objective
	if (item === undefined || !isRecord(item.raw)) return
	const {loadStalls, batchEfficiency} = item.raw
	if (loadStalls !== 0 || batchEfficiency !== 0) return
	faults.push(itemFault(item, [], "at least one weight must be above 0"))
}

function checkReferences(
	{item, raw}: Entry,
	field: string,
	known: ReadonlySet<string>,
	what: string,
	faults: ConfigFault[]
): void {
	const names = raw[field]
	if (!Array.isArray(names)) return
	names.forEach((name: unknown, index) => {
		checkReference(item, [field, index], name, known, what, faults)
		if (names.indexOf(name) === index) return
		const reason = `${what} ${String(name)} stands twice`
		faults.push(itemFault(item, [field, index], reason))
	})
}

function checkReference(
	item: Item,
	path: readonly (string | number)[],
	name: unknown,
	known: ReadonlySet<string>,
	what: string,
	faults: ConfigFault[]
): void {
	if (typeof name !== "string" || known.has(name)) return
	faults.push(itemFault(item, path, `${what} ${name} is not declared`))
}

function entriesOf(items: readonly Item[]): Entry[] {
	const entries: Entry[] = []
	for (const item of items) {
		if (isRecord(item.raw)) entries.push({item, raw: item.raw})
	}
	return entries
}
