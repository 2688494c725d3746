/**
 * Validation rules that involve several fields or sections. They read the raw
 * items, so that a fault in one field does not hide those in others.
 */
import type {ConfigFault} from "./faults.js"
import {isIdempotentByDefault} from "./schema.js"
import {
	createItemFault,
	isRecord,
	type SectionItem,
	type Sections
} from "./sections.js"
import {KeyRule, PoolType} from "./types.js"

/** An item whose data is a mapping. */
interface RecordItem {
	item: SectionItem
	raw: Record<string, unknown>
}

/** The names that items may refer to, and the faults found so far. */
interface RuleContext {
	sections: Sections
	faults: ConfigFault[]
	failureDomains: ReadonlySet<string>
	baseModels: ReadonlySet<string>
	pools: ReadonlyMap<string, Record<string, unknown>>
	routes: ReadonlySet<string>
}

/** Adds a fault for each violated rule. */
export function checkRules(sections: Sections, faults: ConfigFault[]): void {
	const {lists} = sections
	const context: RuleContext = {
		sections,
		faults,
		failureDomains: collectNames(lists.failureDomains, faults),
		baseModels: collectNames(lists.baseModels, faults),
		pools: new Map(
			listRecordItems(lists.pools).map(({raw}) => [String(raw.name), raw])
		),
		routes: collectNames(lists.routes, faults)
	}
	collectNames(lists.pools, faults)
	collectNames(lists.serviceLevels, faults)
	for (const recordItem of listRecordItems(lists.pools))
		checkPool(recordItem, context)
	for (const recordItem of listRecordItems(lists.routes))
		checkRoute(recordItem, context)
	checkPathConflicts(listRecordItems(lists.routes), faults)
	for (const recordItem of listRecordItems(lists.serviceLevels)) {
		checkReferences(recordItem, "routes", context.routes, "route", faults)
	}
	checkAdapters(listRecordItems(lists.adapters), context)
	checkObjective(sections, faults)
}

/** Collects the names in a list; adds a fault for each duplicate. */
function collectNames(
	items: readonly SectionItem[],
	faults: ConfigFault[]
): Set<string> {
	const firstByName = new Map<string, SectionItem>()
	for (const item of items) {
		const name = isRecord(item.raw) ? item.raw.name : item.raw
		if (typeof name !== "string") continue
		const first = firstByName.get(name)
		if (first === undefined) firstByName.set(name, item)
		else
			faults.push(
				createItemFault(item, ["name"], describeDuplicate(name, first))
			)
	}
	return new Set(firstByName.keys())
}

function describeDuplicate(name: string, first: SectionItem): string {
	const {file, line} = createItemFault(first, [], "")
	return `${name} is already declared at ${file}:${line}`
}

function checkPool({item, raw}: RecordItem, context: RuleContext): void {
	const {faults} = context
	const isSet = (field: string): boolean => (raw[field] ?? 0) !== 0
	checkReferences(
		{item, raw},
		"failureDomains",
		context.failureDomains,
		"failure domain",
		faults
	)
	if (Array.isArray(raw.failureDomains) && raw.failureDomains.length === 0) {
		const reason =
			"expected at least one failure domain; omit the field for all"
		faults.push(createItemFault(item, ["failureDomains"], reason))
	}
	if (raw.type === PoolType.Service) {
		for (const field of ["slots", "baseModel", "msPerToken"]) {
			if (!isSet(field)) continue
			faults.push(
				createItemFault(item, [field], `a service pool takes no ${field}`)
			)
		}
		return
	}
	if (raw.type !== PoolType.Engines) return
	if (raw.slots === 0) {
		const reason = "an engine pool needs at least one slot"
		faults.push(createItemFault(item, ["slots"], reason))
	}
	if (isSet("callMs")) {
		faults.push(
			createItemFault(item, ["callMs"], "an engine pool takes no callMs")
		)
	}
	if (raw.baseModel === undefined) {
		const reason = "an engine pool needs a baseModel"
		faults.push(createItemFault(item, ["baseModel"], reason))
		return
	}
	checkReference(
		item,
		["baseModel"],
		raw.baseModel,
		context.baseModels,
		"base model",
		faults
	)
}

function checkRoute(recordItem: RecordItem, context: RuleContext): void {
	const {item, raw} = recordItem
	const {faults, pools} = context
	const names = new Set(pools.keys())
	checkReference(item, ["pool"], raw.pool, names, "pool", faults)
	checkNonIdempotentRoute(recordItem, faults)
	const type = pools.get(String(raw.pool))?.type
	if (type === PoolType.Engines) checkEngineRoute(recordItem, faults)
	if (type === PoolType.Service) checkServiceRoute(recordItem, faults)
}

function checkNonIdempotentRoute(
	{item, raw}: RecordItem,
	faults: ConfigFault[]
): void {
	const idempotent = raw.idempotent ?? isIdempotentByDefault(raw.method)
	if (idempotent !== false) return
	if (typeof raw.maxAttempts === "number" && raw.maxAttempts > 1) {
		const reason = "a route that is not idempotent must have maxAttempts 1"
		faults.push(createItemFault(item, ["maxAttempts"], reason))
	}
	if (raw.key === KeyRule.None) {
		const reason =
			"a route that is not idempotent needs key optional or required"
		faults.push(createItemFault(item, ["key"], reason))
	}
	if (raw.coalesce === true) {
		const reason = "a route that is not idempotent cannot be coalesced"
		faults.push(createItemFault(item, ["coalesce"], reason))
	}
}

function checkEngineRoute(
	{item, raw}: RecordItem,
	faults: ConfigFault[]
): void {
	for (const field of ["method", "path"]) {
		if (raw[field] === undefined) continue
		const reason = `a route to an engine pool takes no ${field}`
		faults.push(createItemFault(item, [field], reason))
	}
	if (raw.class === "status" || raw.class === "booking") {
		const reason = "a route to an engine pool must be interactive or deferrable"
		faults.push(createItemFault(item, ["class"], reason))
	}
	if (raw.idempotent === false) {
		const reason = "a route to an engine pool must be idempotent"
		faults.push(createItemFault(item, ["idempotent"], reason))
	}
}

function checkServiceRoute(
	{item, raw}: RecordItem,
	faults: ConfigFault[]
): void {
	for (const field of ["method", "path"]) {
		if (raw[field] !== undefined) continue
		const reason = `a route to a service pool needs a ${field}`
		faults.push(createItemFault(item, [field], reason))
	}
	if (raw.class === "interactive" || raw.class === "deferrable") {
		const reason = "a route to a service pool must be status or booking"
		faults.push(createItemFault(item, ["class"], reason))
	}
	if (raw.coalesce === true && !isIdempotentByDefault(raw.method)) {
		const reason = "only GET and HEAD calls can be coalesced"
		faults.push(createItemFault(item, ["coalesce"], reason))
	}
}

/** Adds a fault for each route with the method and path pattern of an earlier one. */
function checkPathConflicts(
	recordItems: readonly RecordItem[],
	faults: ConfigFault[]
): void {
	const firstRouteByCall = new Map<string, string>()
	for (const {item, raw} of recordItems) {
		if (typeof raw.path !== "string") continue
		const pattern = raw.path.replace(/:\w+/g, ":")
		const call = `${String(raw.method)} ${pattern}`
		const first = firstRouteByCall.get(call)
		if (first === undefined) firstRouteByCall.set(call, String(raw.name))
		else {
			const reason = `matches the same calls as route ${first}`
			faults.push(createItemFault(item, ["path"], reason))
		}
	}
}

function checkAdapters(
	recordItems: readonly RecordItem[],
	context: RuleContext
): void {
	const firstByKey = new Map<string, SectionItem>()
	for (const {item, raw} of recordItems) {
		const {base, name, versions} = raw
		checkReference(
			item,
			["base"],
			base,
			context.baseModels,
			"base model",
			context.faults
		)
		const key = `${String(base)}:${String(name)}`
		const first = firstByKey.get(key)
		if (first === undefined) firstByKey.set(key, item)
		else
			context.faults.push(
				createItemFault(item, ["name"], describeDuplicate(key, first))
			)
		checkVersions(item, versions, context.faults)
	}
}

function checkVersions(
	item: SectionItem,
	versions: unknown,
	faults: ConfigFault[]
): void {
	if (!Array.isArray(versions)) return
	const seen = new Set<unknown>()
	versions.forEach((rawVersion: unknown, index) => {
		const version = isRecord(rawVersion) ? rawVersion.version : undefined
		if (typeof version !== "string") return
		if (seen.has(version)) {
			const path = ["versions", index, "version"]
			faults.push(
				createItemFault(
					item,
					path,
					`version ${version} is listed more than once`
				)
			)
		}
		seen.add(version)
	})
}

function checkObjective(sections: Sections, faults: ConfigFault[]): void {
	const item = sections.singles.objective
	if (item === undefined || !isRecord(item.raw)) return
	const {loadStalls, batchEfficiency} = item.raw
	if (loadStalls !== 0 || batchEfficiency !== 0) return
	faults.push(
		createItemFault(item, [], "expected loadStalls or batchEfficiency above 0")
	)
}

function checkReferences(
	{item, raw}: RecordItem,
	field: string,
	known: ReadonlySet<string>,
	subject: string,
	faults: ConfigFault[]
): void {
	const names = raw[field]
	if (!Array.isArray(names)) return
	names.forEach((name: unknown, index) => {
		checkReference(item, [field, index], name, known, subject, faults)
		if (names.indexOf(name) === index) return
		const reason = `${subject} ${String(name)} is listed more than once`
		faults.push(createItemFault(item, [field, index], reason))
	})
}

function checkReference(
	item: SectionItem,
	path: readonly (string | number)[],
	name: unknown,
	known: ReadonlySet<string>,
	subject: string,
	faults: ConfigFault[]
): void {
	if (typeof name !== "string" || known.has(name)) return
	faults.push(createItemFault(item, path, `${subject} ${name} is not declared`))
}

function listRecordItems(items: readonly SectionItem[]): RecordItem[] {
	const recordItems: RecordItem[] = []
	for (const item of items) {
		if (isRecord(item.raw)) recordItems.push({item, raw: item.raw})
	}
	return recordItems
}
