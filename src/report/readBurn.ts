/** Reads burn counts and service levels from the platform and assesses them. */
import {
	configRootKind,
	configRootName,
	type ConfigRoot,
	type ServiceLevel
} from "../contract/config/types.js"
import {PlatformError, Step} from "../contract/errors.js"
import type {Platform} from "../link/platform.js"
import {
	type BurnLedger,
	createLedger,
	hourOf,
	mergeIntoLedger,
	minuteMs,
	sumWindow,
	type WindowCounts
} from "../policy/burn.js"
import {
	assessBurn,
	assessMembers,
	budgetPeriodMs,
	type BurnAssessment,
	burnWindowsMs
} from "../policy/burnAlerts.js"
import {burnKind, burnObjectPrefix, decodeBurnPart} from "./burnObject.js"

export interface BurnReportOptions {
	platform: Platform
	/** End of the budget period to report, in ms since the Unix epoch. */
	at: number
	/** Only this service level; all when empty. */
	serviceLevel?: string
	/** Only this Member; all when empty. */
	member?: string
}

/** Counts of one plot point, which covers five minutes. */
export interface BurnPoint extends WindowCounts {
	/** End of the five minutes, in ms since the Unix epoch. */
	at: number
}

export interface LevelReport {
	level: ServiceLevel
	/** For all Members together, or for the requested one. */
	total: BurnAssessment
	/** Sorted by bad requests, most first. */
	members: BurnAssessment[]
	/** Plot points of the last six hours, oldest first. */
	points: BurnPoint[]
}

export interface BurnReport {
	deployment: string
	at: number
	/** Entry processes with counts in the period; a restart is another process. */
	recorders: number
	/** Stored objects that could not be parsed, so that their counts are left out. */
	skipped: number
	levels: LevelReport[]
}

const pointDurationMs = 5 * minuteMs

/**
 * Reads and assesses the counts of the budget period that ends at `at`.
 *
 * @throws PlatformError when the platform does not answer, has no configuration,
 * or the configuration has no service level of that name
 */
export async function readBurnReport({
	platform,
	at,
	serviceLevel = "",
	member = ""
}: BurnReportOptions): Promise<BurnReport> {
	const {settings} = await readRoot(platform)
	const levels = selectLevels(settings.serviceLevels, serviceLevel)
	const ledger = createLedger()
	const skipped = await readParts(platform, ledger, at)
	const recorders = new Set<string>()
	for (const part of ledger.parts.values()) recorders.add(part.recorder)
	return {
		deployment: settings.deployment,
		at,
		recorders: recorders.size,
		skipped,
		levels: levels.map(level => reportLevel(ledger, level, at, member))
	}
}

async function readRoot(platform: Platform): Promise<ConfigRoot> {
	const object = await platform.read(configRootKind, configRootName)
	if (object === undefined) {
		throw new PlatformError(
			"the platform has no configuration root; apply a configuration first",
			{
				step: Step.Platform
			}
		)
	}
	return object.value as ConfigRoot
}

function selectLevels(levels: ServiceLevel[], name: string): ServiceLevel[] {
	if (name === "") return levels
	const chosen = levels.filter(level => level.name === name)
	if (chosen.length > 0) return chosen
	const known = levels.map(level => level.name).join(", ")
	throw new PlatformError(
		`service level ${JSON.stringify(name)} does not exist (there are: ${known})`,
		{step: Step.Platform}
	)
}

/** Adds the stored counts to the ledger; returns the number of unparsable objects. */
async function readParts(
	platform: Platform,
	ledger: BurnLedger,
	at: number
): Promise<number> {
	let skipped = 0
	const last = hourOf(at)
	for (let hour = hourOf(at - budgetPeriodMs); hour <= last; hour++) {
		const {items} = await platform.list(burnKind, burnObjectPrefix(hour))
		for (const {value} of items) {
			const part = decodeBurnPart(value)
			if (part === undefined) skipped += 1
			else mergeIntoLedger(ledger, part)
		}
	}
	return skipped
}

function reportLevel(
	ledger: BurnLedger,
	level: ServiceLevel,
	at: number,
	member: string
): LevelReport {
	const requestedMember = member === "" ? undefined : member
	const members = assessMembers(ledger, level, at)
	return {
		level,
		total: assessBurn(ledger, level, at, requestedMember),
		members: members.filter(
			assessment =>
				requestedMember === undefined || assessment.member === requestedMember
		),
		points: listPoints(ledger, level.name, at, requestedMember)
	}
}

function listPoints(
	ledger: BurnLedger,
	serviceLevel: string,
	at: number,
	member: string | undefined
): BurnPoint[] {
	const points: BurnPoint[] = []
	const first = at - burnWindowsMs.slowLong + pointDurationMs
	for (let end = first; end <= at; end += pointDurationMs) {
		const counts = sumWindow(
			ledger,
			{serviceLevel, member},
			end,
			pointDurationMs
		)
		points.push({at: end, ...counts})
	}
	return points
}
