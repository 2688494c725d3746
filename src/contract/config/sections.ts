/** Sections of the files: which there are, and the items found in each. */
import type {z} from "zod"
import type {ConfigFault} from "./faults.js"
import {
	adapterSchema,
	baseModelSchema,
	deploymentSchema,
	failureDomainSchema,
	memberWeightsSchema,
	objectiveSchema,
	poolSchema,
	retryBudgetSchema,
	routeSchema,
	serviceLevelSchema,
	weightStoreSchema
} from "./schema.js"
import {faultAt, type FieldPath, type Source} from "./source.js"

/** Sections that hold a list, which several files may add to. */
export const listSections = {
	failureDomains: failureDomainSchema,
	baseModels: baseModelSchema,
	pools: poolSchema,
	routes: routeSchema,
	serviceLevels: serviceLevelSchema,
	adapters: adapterSchema
}

/** Sections that only one file may hold. */
export const singleSections = {
	deployment: deploymentSchema,
	weightStore: weightStoreSchema,
	objective: objectiveSchema,
	retryBudget: retryBudgetSchema,
	memberWeights: memberWeightsSchema
}

export type ListSection = keyof typeof listSections
export type SingleSection = keyof typeof singleSections

/** A list item, or a single section, and where it was found. */
export interface Item {
	source: Source
	path: FieldPath
	raw: unknown
}

/** What all files hold together. */
export interface Sections {
	lists: Record<ListSection, Item[]>
	singles: Partial<Record<SingleSection, Item>>
}

/** Gathers the sections of all files; faults of the top level are added. */
export function gatherSections(
	sources: readonly Source[],
	faults: ConfigFault[]
): Sections {
	const lists = Object.fromEntries(
		Object.keys(listSections).map(section => [section, [] as Item[]])
	) as Sections["lists"]
	const sections: Sections = {lists, singles: {}}
	for (const source of sources) gatherSource(source, sections, faults)
	return sections
}

/** Checks an item's shape; returns undefined when it is faulty. */
export function parseItem<T>(
	schema: z.ZodType<T>,
	item: Item,
	faults: ConfigFault[]
): T | undefined {
	const result = schema.safeParse(item.raw)
	if (result.success) return result.data
	for (const issue of result.error.issues) {
		for (const {path, reason} of describeIssue(issue)) {
			faults.push(faultAt(item.source, [...item.path, ...path], reason))
		}
	}
	return undefined
}

/** A fault at a field of an item. */
export function itemFault(
	item: Item,
	field: FieldPath,
	reason: string
): ConfigFault {
	return faultAt(item.source, [...item.path, ...field], reason)
}

function gatherSource(
	source: Source,
	sections: Sections,
	faults: ConfigFault[]
): void {
	if (source.data === undefined) return
	if (!isRecord(source.data)) {
		faults.push(faultAt(source, [], "expected sections such as pools: [...]"))
		return
	}
	for (const [section, raw] of Object.entries(source.data)) {
		const item: Item = {source, path: [section], raw}
		if (isListSection(section)) gatherList(section, item, sections, faults)
		else if (isSingleSection(section)) {
			gatherSingle(section, item, sections, faults)
		} else {
			const known = [
				...Object.keys(singleSections),
				...Object.keys(listSections)
			]
			const reason = `unknown section; known are ${known.join(", ")}`
			faults.push(itemFault(item, [], reason))
		}
	}
}

function gatherList(
	section: ListSection,
	item: Item,
	sections: Sections,
	faults: ConfigFault[]
): void {
	if (item.raw === null) return
	if (!Array.isArray(item.raw)) {
		faults.push(itemFault(item, [], "expected a list"))
		return
	}
	item.raw.forEach((raw: unknown, index) => {
		const path = [section, index]
		sections.lists[section].push({source: item.source, path, raw})
	})
}

function gatherSingle(
	section: SingleSection,
	item: Item,
	sections: Sections,
	faults: ConfigFault[]
): void {
	const earlier = sections.singles[section]
	if (earlier === undefined) {
		sections.singles[section] = item
		return
	}
	const reason = `section already given in ${earlier.source.file}`
	faults.push(itemFault(item, [], reason))
}

interface FieldReason {
	path: FieldPath
	reason: string
}

function describeIssue(issue: z.core.$ZodIssue): FieldReason[] {
	const path = issue.path.map(key =>
		typeof key === "number" ? key : String(key)
	)
	if (issue.code === "unrecognized_keys") {
		return issue.keys.map(key => ({
			path: [...path, key],
			reason: "unknown field"
		}))
	}
	if (issue.code === "invalid_value") {
		return [{path, reason: `expected one of ${issue.values.join(", ")}`}]
	}
	return [{path, reason: issue.message}]
}

function isListSection(section: string): section is ListSection {
	return Object.hasOwn(listSections, section)
}

function isSingleSection(section: string): section is SingleSection {
	return Object.hasOwn(singleSections, section)
}

/** True for a mapping, as against a list or a scalar. */
export function isRecord(value: unknown): value is Record<string, unknown> {
	return typeof value === "object" && value !== null && !Array.isArray(value)
}
