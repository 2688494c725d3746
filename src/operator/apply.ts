/**
 * Applies a configuration: parts first, then one conditional write of the
 * root, which is the acceptance. A lost answer is settled by reading back.
 */
import {
	type ApplyRecord,
	checkSize,
	chooseBucketCount,
	type ConfigChange,
	type ConfigParts,
	type ConfigRoot,
	configRootKind,
	configRootName,
	type Configuration,
	diffConfiguration,
	findChangedVersions,
	splitIntoParts,
	type SplitConfiguration,
	summarizeChanges
} from "../contract/config/index.js"
import {Step, StepError} from "../contract/errors.js"
import {type Platform, WriteOutcome} from "../link/platform.js"
import {messageOf, sleep} from "../utils/common.js"
import {ImmutableVersionError, NotAppliedError} from "./applyErrors.js"
import {readConfiguration, readRoot, type StoredRoot} from "./storedConfig.js"
import {writeParts} from "./writeParts.js"

export * from "./applyErrors.js"

const maxRememberedApplies = 32
const retryStepMs = 300

export enum ApplyOutcome {
	Accepted = "accepted",
	NoChange = "noChange",
	/** Another change came first; nothing of this apply is in force. */
	Conflict = "conflict",
	/** The platform could not be asked whether the write took effect. */
	Unknown = "unknown"
}

export interface ApplyOptions {
	platform: Platform
	configuration: Configuration
	operator: string
	/** Unique for this run; a lost answer is settled by it. */
	applyId: string
	now?: () => number
	/** Waits after a failed attempt, counted from 1. */
	wait?: (attempt: number) => Promise<void>
	/** Attempts to write or read before the platform counts as out. */
	maxAttempts?: number
}

export interface ApplyResult {
	outcome: ApplyOutcome
	applyId: string
	/** Generation accepted, found unchanged or found in conflict. */
	generation: number
	changes: ConfigChange[]
	/** In a conflict, what others applied since the root was read. */
	others: ApplyRecord[]
	/** In a conflict, what those applies changed. */
	otherChanges: ConfigChange[]
	/** The accepted root and the parts that are new in it. */
	root: ConfigRoot | undefined
	newParts: ConfigParts
}

/** What an apply would do, worked out against the stored root. */
export interface ApplyPlan {
	base: StoredRoot
	changes: ConfigChange[]
	split: SplitConfiguration
}

/** One apply in progress. */
interface Apply extends Required<ApplyOptions> {
	plan: ApplyPlan
	root: ConfigRoot
	newParts: ConfigParts
}

/**
 * Works out the changes without writing.
 *
 * @throws ImmutableVersionError, PlatformError
 */
export async function planApply(
	platform: Platform,
	configuration: Configuration
): Promise<ApplyPlan> {
	const base = await readRoot(platform)
	const previous = base.root?.buckets.length ?? 0
	const buckets = chooseBucketCount(configuration.adapters.length, previous)
	const split = splitIntoParts(configuration, {buckets})
	const before =
		base.root && (await readConfiguration(platform, base.root, split.parts))
	const changes = diffConfiguration(before, configuration)
	const changedVersions = findChangedVersions(changes)
	if (changedVersions.length > 0) {
		throw new ImmutableVersionError(changedVersions)
	}
	return {base, changes, split}
}

/**
 * Applies a configuration as a whole.
 *
 * @throws ImmutableVersionError or NotAppliedError; nothing has changed then
 */
export async function applyConfiguration(
	options: ApplyOptions
): Promise<ApplyResult> {
	const {platform, configuration} = options
	const plan = await failAsNotApplied(planApply(platform, configuration))
	const apply = startApply(options, plan)
	if (plan.changes.length === 0 && plan.base.root !== undefined) {
		return finish(apply, ApplyOutcome.NoChange, plan.base.root)
	}
	await writeParts(apply, apply.newParts)
	return writeRoot(apply)
}

function startApply(options: ApplyOptions, plan: ApplyPlan): Apply {
	const {
		applyId,
		operator,
		now = Date.now,
		wait = waitLonger,
		maxAttempts = 5
	} = options
	const before = plan.base.root
	const generation = (before?.generation ?? 0) + 1
	const record: ApplyRecord = {
		id: applyId,
		generation,
		operator,
		at: now(),
		summary: summarizeChanges(plan.changes)
	}
	const applies = [record, ...(before?.applies ?? [])]
	const root: ConfigRoot = {
		...plan.split.root,
		generation,
		applies: applies.slice(0, maxRememberedApplies)
	}
	checkSize(root, "configuration root")
	const held = new Set(before?.buckets)
	const newParts = new Map(
		[...plan.split.parts].filter(([hash]) => !held.has(hash))
	)
	return {...options, now, wait, maxAttempts, plan, root, newParts}
}

/** Waits longer after each attempt. */
export function waitLonger(attempt: number): Promise<void> {
	return sleep(attempt * retryStepMs)
}

/** Writes the root on the condition that nobody else has since it was read. */
async function writeRoot(apply: Apply): Promise<ApplyResult> {
	const {platform, root, plan, maxAttempts, wait} = apply
	let isLost = false
	let detail = ""
	for (let attempt = 1; attempt <= maxAttempts; attempt++) {
		const result = await platform.write(
			configRootKind,
			configRootName,
			root,
			plan.base.version
		)
		if (result.outcome === WriteOutcome.Written) {
			return finish(apply, ApplyOutcome.Accepted, root)
		}
		if (result.outcome === WriteOutcome.Lost) isLost = true
		// Nobody else can have written `root`, so without a lost answer a
		// conflict is certain, and is only looked up to be explained.
		const settled = await settle(apply)
		if (settled !== undefined) return settled
		if (result.outcome === WriteOutcome.Conflict && !isLost) {
			return finish(apply, ApplyOutcome.Conflict, undefined)
		}
		detail = result.detail
		await wait(attempt)
	}
	if (isLost) return finish(apply, ApplyOutcome.Unknown, undefined)
	const message = `configuration root was not written: ${detail}`
	throw new NotAppliedError(message, {step: Step.WriteRoot, peer: "platform"})
}

/**
 * Reads back how the write ended; undefined when the stored root does not
 * tell. The record of the generation after the base names the apply that won,
 * since every later root keeps it.
 */
async function settle(apply: Apply): Promise<ApplyResult | undefined> {
	const {platform, root, applyId} = apply
	const found = await readRootQuietly(platform)
	const winner = found?.applies.find(
		({generation}) => generation === root.generation
	)
	if (found === undefined || winner === undefined) return undefined
	const isOurs = winner.id === applyId
	const outcome = isOurs ? ApplyOutcome.Accepted : ApplyOutcome.Conflict
	return finish(apply, outcome, isOurs ? root : found)
}

async function readRootQuietly(
	platform: Platform
): Promise<ConfigRoot | undefined> {
	try {
		const {root} = await readRoot(platform)
		return root
	} catch {
		return undefined
	}
}

async function finish(
	apply: Apply,
	outcome: ApplyOutcome,
	found: ConfigRoot | undefined
): Promise<ApplyResult> {
	const {applyId, plan, root, newParts} = apply
	const result: ApplyResult = {
		outcome,
		applyId,
		generation: found?.generation ?? plan.base.root?.generation ?? 0,
		changes: plan.changes,
		others: [],
		otherChanges: [],
		root: undefined,
		newParts: new Map()
	}
	if (outcome === ApplyOutcome.Accepted) return {...result, root, newParts}
	if (outcome === ApplyOutcome.NoChange) return {...result, root: found}
	if (outcome === ApplyOutcome.Unknown || found === undefined) return result
	return {...result, ...(await explainConflict(apply, found))}
}

async function explainConflict(
	{platform, plan}: Apply,
	found: ConfigRoot
): Promise<Pick<ApplyResult, "others" | "otherChanges">> {
	const before = plan.base.root
	const since = before?.generation ?? 0
	const others = found.applies.filter(({generation}) => generation > since)
	try {
		const earlier =
			before && (await readConfiguration(platform, before, plan.split.parts))
		const later = await readConfiguration(platform, found, plan.split.parts)
		return {others, otherChanges: diffConfiguration(earlier, later)}
	} catch {
		// The records alone still say who changed it.
		return {others, otherChanges: []}
	}
}

/** Everything before the root's write leaves the configuration as it was. */
async function failAsNotApplied<T>(work: Promise<T>): Promise<T> {
	try {
		return await work
	} catch (err) {
		if (err instanceof ImmutableVersionError) throw err
		const peer = err instanceof StepError ? err.peer : ""
		const step = err instanceof StepError ? err.step : Step.WriteParts
		throw new NotAppliedError(messageOf(err), {step, peer, cause: err})
	}
}
