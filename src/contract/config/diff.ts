/** Differences between two configurations. */
import {encodeCanonical, adapterKey} from "./parts.js"
import type {Adapter, Configuration, Settings} from "./types.js"

export enum ChangeKind {
	Added = "added",
	Removed = "removed",
	Changed = "changed"
}

/** One difference. */
export interface ConfigChange {
	kind: ChangeKind
	/** Such as `pool`, `route` or `adapter version`. */
	subject: string
	/** Name of the subject; empty for a section that stands once. */
	name: string
	/** Fields that differ, for a change. */
	fields: FieldChange[]
}

export interface FieldChange {
	field: string
	before: string
	after: string
}

/** Subject of changes to adapter versions. */
export const versionSubject = "adapter version"

type Named = Readonly<Record<string, unknown>> & {readonly name: string}

/** Lists what differs; `before` is undefined for the first configuration. */
export function diffConfiguration(
	before: Configuration | undefined,
	after: Configuration
): ConfigChange[] {
	return [
		...diffSettings(before?.settings, after.settings),
		...diffVersions(before?.adapters ?? [], after.adapters)
	]
}

/** A line of text, with `+`, `-` or `~` in front. */
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

/** Counts per kind, such as `2 added, 1 changed`. */
export function summarizeChanges(changes: readonly ConfigChange[]): string {
	if (changes.length === 0) return "no change"
	const counts = Object.values(ChangeKind).map(kind => {
		const count = changes.filter(change => change.kind === kind).length
		return count === 0 ? "" : `${count} ${kind}`
	})
	return counts.filter(text => text !== "").join(", ")
}

/** Versions whose weights would change in place, which is not permitted. */
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
	const single = (
		subject: "deployment" | "weightStore" | "objective" | "retryBudget"
	): ConfigChange[] => {
		const field = {[subject]: after[subject]}
		return diffRecord(
			subject,
			"",
			before && {[subject]: before[subject]},
			field
		)
	}
	return [
		...single("deployment"),
		...diffLists(
			"failure domain",
			before?.failureDomains ?? [],
			after.failureDomains
		),
		...diffLists("base model", before?.baseModels ?? [], after.baseModels),
		...diffLists("pool", before?.pools ?? [], after.pools),
		...diffLists("route", before?.routes ?? [], after.routes),
		...diffLists(
			"service level",
			before?.serviceLevels ?? [],
			after.serviceLevels
		),
		...single("weightStore"),
		...single("objective"),
		...single("retryBudget"),
		...diffLists(
			"member weight",
			weightRows(before?.memberWeights ?? {}),
			weightRows(after.memberWeights)
		)
	]
}

function diffVersions(
	before: readonly Adapter[],
	after: readonly Adapter[]
): ConfigChange[] {
	return diffLists(versionSubject, versionRows(before), versionRows(after))
}

function diffLists(
	subject: string,
	before: readonly {name: string}[],
	after: readonly {name: string}[]
): ConfigChange[] {
	const changes: ConfigChange[] = []
	const earlier = new Map(before.map(row => [row.name, row as Named]))
	const later = new Set(after.map(({name}) => name))
	for (const row of after) {
		changes.push(...diffRecord(subject, row.name, earlier.get(row.name), row))
	}
	for (const {name} of before) {
		if (later.has(name)) continue
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
		const was = encodeCanonical(before[field])
		const is = encodeCanonical(after[field])
		if (was !== is) fields.push({field, before: was, after: is})
	}
	if (fields.length === 0) return []
	return [{kind: ChangeKind.Changed, subject, name, fields}]
}

function versionRows(
	adapters: readonly Adapter[]
): {name: string; source: string}[] {
	return adapters.flatMap(adapter =>
		adapter.versions.map(({version, source}) => ({
			name: `${adapterKey(adapter)}@${version}`,
			source
		}))
	)
}

function weightRows(
	weights: Readonly<Record<string, number>>
): {name: string; weight: number}[] {
	return Object.entries(weights).map(([name, weight]) => ({name, weight}))
}
