/** Differences between two configurations. */
import {encodeCanonical, adapterKey} from "./parts.js"
import type {Adapter, Configuration, Settings} from "./types.js"

export enum ChangeKind {
	Added = "added",
	Removed = "removed",
	Changed = "changed"
}

/** One item that was added, removed or changed. */
export interface ConfigChange {
	kind: ChangeKind
	/** Kind of item, such as `pool`, `route` or `adapter version`. */
	subject: string
	/** Name of the item; empty for a section that is not a list. */
	name: string
	/** Fields that differ; empty for items that were added or removed. */
	fields: FieldChange[]
}

export interface FieldChange {
	field: string
	before: string
	after: string
}

/** `subject` of changes to adapter versions. */
export const versionSubject = "adapter version"

type NamedRecord = Readonly<Record<string, unknown>> & {readonly name: string}

/** Lists the changes; `before` is undefined for the first configuration. */
export function diffConfiguration(
	before: Configuration | undefined,
	after: Configuration
): ConfigChange[] {
	return [
		...diffSettings(before?.settings, after.settings),
		...diffVersions(before?.adapters ?? [], after.adapters)
	]
}

/** Formats a change as one line that begins with `+`, `-` or `~`. */
export function formatChange(change: ConfigChange): string {
	const {kind, subject, name, fields} = change
	const title = name === "" ? subject : `${subject} ${name}`
	if (kind === ChangeKind.Added) return `+ ${title}`
	if (kind === ChangeKind.Removed) return `- ${title}`
	const details = fields.map(
		({field, before, after}) => `${field} ${before} → ${after}`
	)
	return `~ ${title}: ${details.join(", ")}`
}

/** Formats the counts by kind, such as `2 added, 1 changed`. */
export function summarizeChanges(changes: readonly ConfigChange[]): string {
	if (changes.length === 0) return "no change"
	const counts = Object.values(ChangeKind).map(kind => {
		const count = changes.filter(change => change.kind === kind).length
		return count === 0 ? "" : `${count} ${kind}`
	})
	return counts.filter(text => text !== "").join(", ")
}

/** Finds adapter versions whose source changed; versions are immutable. */
export function findChangedVersions(
	changes: readonly ConfigChange[]
): ConfigChange[] {
	return changes.filter(
		({kind, subject}) =>
			kind === ChangeKind.Changed && subject === versionSubject
	)
}

function diffSettings(
	before: Settings | undefined,
	after: Settings
): ConfigChange[] {
	const diffSection = (
		subject: "deployment" | "weightStore" | "objective" | "retryBudget"
	): ConfigChange[] => {
		const sectionAfter = {[subject]: after[subject]}
		return diffRecord(
			subject,
			"",
			before && {[subject]: before[subject]},
			sectionAfter
		)
	}
	return [
		...diffSection("deployment"),
		...diffList(
			"failure domain",
			before?.failureDomains ?? [],
			after.failureDomains
		),
		...diffList("base model", before?.baseModels ?? [], after.baseModels),
		...diffList("pool", before?.pools ?? [], after.pools),
		...diffList("route", before?.routes ?? [], after.routes),
		...diffList(
			"service level",
			before?.serviceLevels ?? [],
			after.serviceLevels
		),
		...diffSection("weightStore"),
		...diffSection("objective"),
		...diffSection("retryBudget"),
		...diffList(
			"member weight",
			listMemberWeights(before?.memberWeights ?? {}),
			listMemberWeights(after.memberWeights)
		)
	]
}

function diffVersions(
	before: readonly Adapter[],
	after: readonly Adapter[]
): ConfigChange[] {
	return diffList(versionSubject, listVersions(before), listVersions(after))
}

function diffList(
	subject: string,
	before: readonly {name: string}[],
	after: readonly {name: string}[]
): ConfigChange[] {
	const changes: ConfigChange[] = []
	const rowsBefore = new Map(before.map(row => [row.name, row as NamedRecord]))
	const namesAfter = new Set(after.map(({name}) => name))
	for (const row of after) {
		changes.push(
			...diffRecord(subject, row.name, rowsBefore.get(row.name), row)
		)
	}
	for (const {name} of before) {
		if (namesAfter.has(name)) continue
		changes.push({kind: ChangeKind.Removed, subject, name, fields: []})
	}
	return changes
}

function diffRecord(
	subject: string,
	name: string,
	before: Readonly<Record<string, unknown>> | undefined,
	after: Readonly<Record<string, unknown>>
): ConfigChange[] {
	if (before === undefined) {
		return [{kind: ChangeKind.Added, subject, name, fields: []}]
	}
	const fields: FieldChange[] = []
	for (const field of Object.keys(after)) {
		const textBefore = encodeCanonical(before[field])
		const textAfter = encodeCanonical(after[field])
		if (textBefore !== textAfter)
			fields.push({field, before: textBefore, after: textAfter})
	}
	if (fields.length === 0) return []
	return [{kind: ChangeKind.Changed, subject, name, fields}]
}

function listVersions(
	adapters: readonly Adapter[]
): {name: string; source: string}[] {
	return adapters.flatMap(adapter =>
		adapter.versions.map(({version, source}) => ({
			name: `${adapterKey(adapter)}@${version}`,
			source
		}))
	)
}

function listMemberWeights(
	weights: Readonly<Record<string, number>>
): {name: string; weight: number}[] {
	return Object.entries(weights).map(([name, weight]) => ({name, weight}))
}
