/** Lists what differs between two configurations, without any key. */
import type {FleetConfig, Member} from "../fleet.js"
import {memberEntry, poolEntry, routeEntry} from "./finding.js"

export enum Change {
	Added = "added",
	Removed = "removed",
	Changed = "changed"
}

export interface Difference {
	entry: string
	change: Change
	/** Fields that changed, each with its values before and after. */
	fields: FieldChange[]
}

export interface FieldChange {
	field: string
	before: unknown
	after: unknown
}

export function listDifferences(
	inForce: FleetConfig,
	next: FleetConfig
): Difference[] {
	return [
		...compareFields(
			"configuration",
			{version: inForce.version},
			{version: next.version}
		),
		...compareLists(inForce.routes, next.routes, routeEntry),
		...compareLists(inForce.pools, next.pools, poolEntry),
		...compareLists(
			listWithoutKeys(inForce, next, "withdrawn"),
			listWithoutKeys(next, inForce, "new"),
			memberEntry
		),
		...compareFields("limits", inForce.limits, next.limits)
	]
}

function compareLists<T extends {name: string}>(
	before: readonly T[],
	after: readonly T[],
	describe: (item: T) => string
): Difference[] {
	const removed = before.filter(
		({name}) => !after.some(item => item.name === name)
	)
	return [
		...removed.map(item => ({
			entry: describe(item),
			change: Change.Removed,
			fields: []
		})),
		...after.flatMap(item => {
			const known = before.find(({name}) => name === item.name)
			const entry = describe(item)
			if (known === undefined)
				return [{entry, change: Change.Added, fields: []}]
			return compareFields(entry, known, item)
		})
	]
}

/** Compares the fields of `before`; none or one difference. */
function compareFields<T extends object>(
	entry: string,
	before: T,
	after: T
): Difference[] {
	const fields = Object.keys(before).flatMap(key => {
		const field = key as keyof T & string
		if (isEqual(before[field], after[field])) return []
		return [{field, before: before[field], after: after[field]}]
	})
	return fields.length === 0 ? [] : [{entry, change: Change.Changed, fields}]
}

interface KeylessMember extends Omit<Member, "keys"> {
	keys: string
}

/** Members with the number of their keys in place of these, and of those that `other` lacks. */
function listWithoutKeys(
	{members = []}: FleetConfig,
	other: FleetConfig,
	lacking: string
): KeylessMember[] {
	return members.map(member => {
		const others = other.members?.find(({name}) => name === member.name)
		const own = member.keys.filter(key => others?.keys.includes(key) !== true)
		const lacked = own.length === 0 ? "" : `, ${own.length} ${lacking}`
		return {...member, keys: `${member.keys.length}${lacked}`}
	})
}

/** Whether two values of a decoded configuration are equal in depth. */
function isEqual(a: unknown, b: unknown): boolean {
	return JSON.stringify(a) === JSON.stringify(b)
}
