/**
 * Applies a configuration: writes its parts, then its root in one conditional
 * write. The configuration is accepted when the root is written. If the platform
 * does not answer that write, the stored root is read back to find out.
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

/** Records of recent applies kept in the root. */
const maxApplyRecords = 32
const backoffStepMs = 300

export enum ApplyOutcome {
	Accepted = "accepted",
	NoChange = "noChange",
	/** Another apply was accepted since the root was read; this one was not. */
	Conflict = "conflict",
	/** The root's write was not answered, and reading back did not resolve it. */
	Unknown = "unknown"
}

export interface ApplyOptions {
	platform: Platform
	configuration: Configuration
	operator: string
	/** Unique for this apply; identifies its record in the root that is read back. */
	applyId: string
	now?: () => number
	/** Waits before the next attempt; `attempt` counts the failed ones, from 1. */
	wait?: (attempt: number) => Promise<void>
	/** Attempts to write a part or the root before the apply gives up. */
	maxAttempts?: number
}

export interface ApplyResult {
	outcome: ApplyOutcome
	applyId: string
	/**
	 * Generation accepted or already stored; after a conflict, that of the stored
	 * root. After `Unknown`, or if that root was not read, the generation before the
	 * apply.
	 */
	generation: number
	/** What this apply changes, or would have changed. */
	changes: ConfigChange[]
	/** After a conflict, the applies accepted since the root was first read. */
	others: ApplyRecord[]
	/** After a conflict, what those applies changed. */
	otherChanges: ConfigChange[]
	/** After `Accepted`, the root written; after `NoChange`, the stored root. */
	root: ConfigRoot | undefined
	/** Parts of `root` that the root before it lacks; empty unless `Accepted`. */
	newParts: ConfigParts
}

/**
 * The stored root, the changes from it to a configuration, and that configuration
 * split into parts.
 */
export interface ApplyPlan {
	base: StoredRoot
	changes: ConfigChange[]
	split: SplitConfiguration
}

/** State of one apply: its options with defaults, and what it writes. */
interface ApplyInProgress extends Required<ApplyOptions> {
	plan: ApplyPlan
	root: ConfigRoot
	newParts: ConfigParts
}

/**
 * Compares a configuration with the stored one and splits it into parts; writes
 * nothing.
 *
 * @throws ImmutableVersionError, PlatformError, StoredConfigError,
 * MissingPartError or ConfigSizeError
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
 * Applies a configuration, all or nothing. A conflict or an unknown outcome is in
 * the result.
 *
 * @throws ImmutableVersionError, NotAppliedError, or ConfigSizeError when the root
 * is too large; the root was not written then
 */
export async function applyConfiguration(
	options: ApplyOptions
): Promise<ApplyResult> {
	const {platform, configuration} = options
	const plan = await convertToNotApplied(planApply(platform, configuration))
	const apply = prepareApply(options, plan)
	if (plan.changes.length === 0 && plan.base.root !== undefined) {
		return buildResult(apply, ApplyOutcome.NoChange, plan.base.root)
	}
	await writeParts(apply, apply.newParts)
	return writeRoot(apply)
}

function prepareApply(options: ApplyOptions, plan: ApplyPlan): ApplyInProgress {
	const {
		applyId,
		operator,
		now = Date.now,
		wait = waitWithBackoff,
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
		applies: applies.slice(0, maxApplyRecords)
	}
	checkSize(root, "configuration root")
	const baseHashes = new Set(before?.buckets)
	const newParts = new Map(
		[...plan.split.parts].filter(([hash]) => !baseHashes.has(hash))
	)
	return {...options, now, wait, maxAttempts, plan, root, newParts}
}

/** Waits `backoffStepMs` after the first attempt and one step longer each time. */
export function waitWithBackoff(attempt: number): Promise<void> {
	return sleep(attempt * backoffStepMs)
}

/** Writes the root on the condition that its version is still the one read. */
async function writeRoot(apply: ApplyInProgress): Promise<ApplyResult> {
	const {platform, root, plan, maxAttempts, wait} = apply
	let hasLostAnswer = false
	let detail = ""
	for (let attempt = 1; attempt <= maxAttempts; attempt++) {
		const result = await platform.write(
			configRootKind,
			configRootName,
			root,
			plan.base.version
		)
		if (result.outcome === WriteOutcome.Written) {
			return buildResult(apply, ApplyOutcome.Accepted, root)
		}
		if (result.outcome === WriteOutcome.Lost) hasLostAnswer = true
		// A conflict without an earlier lost answer can't come from this apply's
		// own write, so it is final even if the read fails. It is read back only
		// to report the other applies.
		const readBack = await readBackOutcome(apply)
		if (readBack !== undefined) return readBack
		if (result.outcome === WriteOutcome.Conflict && !hasLostAnswer) {
			return buildResult(apply, ApplyOutcome.Conflict, undefined)
		}
		detail = result.detail
		await wait(attempt)
	}
	if (hasLostAnswer) return buildResult(apply, ApplyOutcome.Unknown, undefined)
	const message = `configuration root was not written: ${detail}`
	throw new NotAppliedError(message, {step: Step.WriteRoot, peer: "platform"})
}

/**
 * Reads the stored root to find which apply wrote the generation after the base:
 * this one or another. Later roots keep the record of that apply, up to
 * `maxApplyRecords`. Returns undefined when the read fails or the root has no such
 * record, as when the read is stale.
 */
async function readBackOutcome(
	apply: ApplyInProgress
): Promise<ApplyResult | undefined> {
	const {platform, root, applyId} = apply
	const storedRoot = await tryReadRoot(platform)
	const nextRecord = storedRoot?.applies.find(
		({generation}) => generation === root.generation
	)
	if (storedRoot === undefined || nextRecord === undefined) return undefined
	const isOurs = nextRecord.id === applyId
	const outcome = isOurs ? ApplyOutcome.Accepted : ApplyOutcome.Conflict
	return buildResult(apply, outcome, isOurs ? root : storedRoot)
}

async function tryReadRoot(
	platform: Platform
): Promise<ConfigRoot | undefined> {
	try {
		const {root} = await readRoot(platform)
		return root
	} catch {
		return undefined
	}
}

/** Builds the result; after a conflict, reads what the other applies changed. */
async function buildResult(
	apply: ApplyInProgress,
	outcome: ApplyOutcome,
	storedRoot: ConfigRoot | undefined
): Promise<ApplyResult> {
	const {applyId, plan, root, newParts} = apply
	const result: ApplyResult = {
		outcome,
		applyId,
		generation: storedRoot?.generation ?? plan.base.root?.generation ?? 0,
		changes: plan.changes,
		others: [],
		otherChanges: [],
		root: undefined,
		newParts: new Map()
	}
	if (outcome === ApplyOutcome.Accepted) return {...result, root, newParts}
	if (outcome === ApplyOutcome.NoChange) return {...result, root: storedRoot}
	if (outcome === ApplyOutcome.Unknown || storedRoot === undefined)
		return result
	return {...result, ...(await explainConflict(apply, storedRoot))}
}

async function explainConflict(
	{platform, plan}: ApplyInProgress,
	storedRoot: ConfigRoot
): Promise<Pick<ApplyResult, "others" | "otherChanges">> {
	const before = plan.base.root
	const baseGeneration = before?.generation ?? 0
	const others = storedRoot.applies.filter(
		({generation}) => generation > baseGeneration
	)
	try {
		const earlier =
			before && (await readConfiguration(platform, before, plan.split.parts))
		const later = await readConfiguration(
			platform,
			storedRoot,
			plan.split.parts
		)
		return {others, otherChanges: diffConfiguration(earlier, later)}
	} catch {
		// The records alone still name the operators and summarize the changes.
		return {others, otherChanges: []}
	}
}

/**
 * Converts errors of `planApply`, which writes nothing, to NotAppliedError. An
 * ImmutableVersionError passes through.
 */
async function convertToNotApplied<T>(promise: Promise<T>): Promise<T> {
	try {
		return await promise
	} catch (err) {
		if (err instanceof ImmutableVersionError) throw err
		const peer = err instanceof StepError ? err.peer : ""
		const step = err instanceof StepError ? err.step : Step.WriteParts
		throw new NotAppliedError(messageOf(err), {step, peer, cause: err})
	}
}
