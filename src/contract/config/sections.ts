/** The sections of configuration files, and collecting their items. */
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
import {createFault, type FieldPath, type Source} from "./source.js"

/** Sections that are lists; the items of all files are concatenated. */
export const listSections = {
	failureDomains: failureDomainSchema,
	baseModels: baseModelSchema,
	pools: poolSchema,
	routes: routeSchema,
	serviceLevels: serviceLevelSchema,
	adapters: adapterSchema
}

/** Sections that at most one file may have. */
export const singleSections = {
	deployment: deploymentSchema,
	weightStore: weightStoreSchema,
	objective: objectiveSchema,
	retryBudget: retryBudgetSchema,
	memberWeights: memberWeightsSchema
}

export type ListSection = keyof typeof listSections
export type SingleSection = keyof typeof singleSections

/** A list item or a whole single section, with its file and path. */
export interface SectionItem {
	source: Source
	path: FieldPath
	raw: unknown
}

/** The sections of all files, not yet validated. */
export interface Sections {
	lists: Record<ListSection, SectionItem[]>
	singles: Partial<Record<SingleSection, SectionItem>>
}

/**
 * Collects the sections of all files; adds faults for unknown, duplicate and
 * malformed ones.
 */
export function collectSections(
	sources: readonly Source[],
	faults: ConfigFault[]
): Sections {
	const lists = Object.fromEntries(
		Object.keys(listSections).map(section => [section, [] as SectionItem[]])
	) as Sections["lists"]
	const sections: Sections = {lists, singles: {}}
	for (const source of sources) collectSource(source, sections, faults)
	return sections
}

/** Validates an item; on failure adds its faults and returns undefined. */
export function parseItem<T>(
	schema: z.ZodType<T>,
	item: SectionItem,
	faults: ConfigFault[]
): T | undefined {
	const result = schema.safeParse(item.raw)
	if (result.success) return result.data
	for (const issue of result.error.issues) {
		for (const {path, reason} of describeIssue(issue)) {
			faults.push(createFault(item.source, [...item.path, ...path], reason))
		}
	}
	return undefined
}

/** Creates a fault for a field of an item. */
export function createItemFault(
	item: SectionItem,
	field: FieldPath,
	reason: string
): ConfigFault {
	return createFault(item.source, [...item.path, ...field], reason)
}

function collectSource(
	source: Source,
	sections: Sections,
	faults: ConfigFault[]
): void {
	if (source.data === undefined) return
	if (!isRecord(source.data)) {
		faults.push(
			createFault(source, [], "expected sections such as pools: [...]")
		)
		return
	}
	for (const [section, raw] of Object.entries(source.data)) {
		const item: SectionItem = {source, path: [section], raw}
		if (isListSection(section)) collectList(section, item, sections, faults)
		else if (isSingleSection(section)) {
			collectSingle(section, item, sections, faults)
		} else {
			const known = [
				...Object.keys(singleSections),
				...Object.keys(listSections)
			]
			const reason = `unknown section; expected one of ${known.join(", ")}`
			faults.push(createItemFault(item, [], reason))
		}
	}
}

function collectList(
	section: ListSection,
	item: SectionItem,
	sections: Sections,
	faults: ConfigFault[]
): void {
	if (item.raw === null) return
	if (!Array.isArray(item.raw)) {
		faults.push(createItemFault(item, [], "expected a list"))
		return
	}
	item.raw.forEach((raw: unknown, index) => {
		const path = [section, index]
		sections.lists[section].push({source: item.source, path, raw})
	})
}

function collectSingle(
	section: SingleSection,
	item: SectionItem,
	sections: Sections,
	faults: ConfigFault[]
): void {
	const earlier = sections.singles[section]
	if (earlier === undefined) {
		sections.singles[section] = item
		return
	}
	const reason = `section is already given in ${earlier.source.file}`
	faults.push(createItemFault(item, [], reason))
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

/** True for a mapping; false for a list or a scalar. */
export function isRecord(value: unknown): value is Record<string, unknown> {
	return typeof value === "object" && value !== null && !Array.isArray(value)
}
