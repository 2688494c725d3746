/** Commands that validate, compare and apply configuration files, and `prune`. */
import {
	formatChange,
	parseConfiguration,
	summarizeChanges
} from "../contract/config/index.js"
import {SettingsError} from "../contract/errors.js"
import type {Platform} from "../link/platform.js"
import {ExitCode} from "../program/exitCode.js"
import {
	applyConfiguration,
	ApplyOutcome,
	type ApplyResult,
	planApply
} from "./apply.js"
import type {Context} from "./context.js"
import {readConfigFiles} from "./files.js"
import {offerConfiguration, type OfferResult} from "./offerConfiguration.js"
import {pruneParts} from "./prune.js"

const maxListedChanges = 40

export interface FileOptions {
	files: readonly string[]
	json: boolean
}

export interface ApplyFileOptions extends FileOptions {
	dryRun: boolean
}

/** `validate`: checks the files without calling the platform or an entry. */
export function validateFiles(
	{output}: Pick<Context, "output">,
	{files, json}: FileOptions
): ExitCode {
	const {settings, adapters} = parseConfiguration(readConfigFiles(files))
	const counts = {
		pools: settings.pools.length,
		routes: settings.routes.length,
		adapters: adapters.length
	}
	if (json) output.json({valid: true, ...counts})
	else {
		const {pools, routes} = counts
		output.line(
			`valid: ${pools} pools, ${routes} routes, ${counts.adapters} adapters`
		)
	}
	return ExitCode.Ok
}

/** `diff`: prints what an apply of the files would change, and writes nothing. */
export async function diffFiles(
	context: Context,
	{files, json}: FileOptions
): Promise<ExitCode> {
	const {output} = context
	const configuration = parseConfiguration(readConfigFiles(files))
	const plan = await planApply(requirePlatform(context), configuration)
	const generation = plan.base.root?.generation ?? 0
	if (json) output.json({generation, changes: plan.changes})
	else {
		output.lines(plan.changes.map(formatChange))
		const summary = summarizeChanges(plan.changes)
		output.line(`against generation ${generation}: ${summary}`)
	}
	return ExitCode.Ok
}

/**
 * `apply`: applies the files as the next generation, all or nothing, and offers
 * the accepted configuration, also an unchanged one, to the entries.
 */
export async function applyFiles(
	context: Context,
	options: ApplyFileOptions
): Promise<ExitCode> {
	if (options.dryRun) return diffFiles(context, options)
	const configuration = parseConfiguration(readConfigFiles(options.files))
	const result = await applyConfiguration({
		platform: requirePlatform(context),
		configuration,
		operator: context.operator,
		applyId: context.createApplyId(),
		wait: context.wait
	})
	const offerResults = await offerToEntries(context, result)
	if (options.json) printJson(context, result, offerResults)
	else printResult(context, result, offerResults)
	return exitCodes[result.outcome]
}

/** `prune`: removes stored configuration parts that the root does not name. */
export async function prune(
	context: Context,
	{json, dryRun}: Omit<ApplyFileOptions, "files">
): Promise<ExitCode> {
	const {output} = context
	const platform = requirePlatform(context)
	const result = await pruneParts(platform, Date.now(), dryRun)
	if (json) output.json(result)
	else {
		const {parts, unused, removed} = result
		output.line(`${parts} parts, ${unused} unused, ${removed} removed`)
	}
	return ExitCode.Ok
}

const exitCodes: Readonly<Record<ApplyOutcome, ExitCode>> = {
	[ApplyOutcome.Accepted]: ExitCode.Ok,
	[ApplyOutcome.NoChange]: ExitCode.Ok,
	[ApplyOutcome.Conflict]: ExitCode.Conflict,
	[ApplyOutcome.Unknown]: ExitCode.Unknown
}

async function offerToEntries(
	{links, token}: Context,
	{root, newParts}: ApplyResult
): Promise<OfferResult[]> {
	if (root === undefined) return []
	return offerConfiguration(links, root, newParts, token)
}

function printResult(
	context: Context,
	result: ApplyResult,
	offerResults: readonly OfferResult[]
): void {
	const {output} = context
	const {outcome, generation, changes, applyId} = result
	switch (outcome) {
		case ApplyOutcome.Accepted:
			printChanges(context, changes.map(formatChange))
			output.line(
				`accepted as generation ${generation}: ${summarizeChanges(changes)} (apply ${applyId})`
			)
			break
		case ApplyOutcome.NoChange:
			output.line(
				`no change: generation ${generation} already has this content`
			)
			break
		case ApplyOutcome.Conflict:
			printConflict(context, result)
			break
		case ApplyOutcome.Unknown:
			printUnknownOutcome(context, result)
			break
	}
	printOfferResults(context, offerResults)
}

function printConflict(context: Context, result: ApplyResult): void {
	const {output} = context
	output.error("conflict: another apply was accepted first")
	for (const {generation, operator, at, summary} of result.others) {
		const time = new Date(at).toISOString()
		output.error(
			`generation ${generation} by ${operator} at ${time}: ${summary}`
		)
	}
	const lines = result.otherChanges.map(formatChange)
	for (const line of limitLines(lines)) output.error(`  ${line}`)
	output.error(
		"nothing of this apply was accepted; run diff, and apply again if the changes are still wanted"
	)
}

function printUnknownOutcome({output}: Context, {applyId}: ApplyResult): void {
	output.error(
		`it is not known whether apply ${applyId} took effect: the platform did not answer`
	)
	output.error(
		`when the platform answers again, run history: the apply took effect if ${applyId} is listed`
	)
	output.error("it is safe to run the same apply again")
}

function printOfferResults(
	{output}: Context,
	results: readonly OfferResult[]
): void {
	for (const {address, fault} of results) {
		if (fault === "") continue
		output.error(
			`entry ${address} did not acknowledge the configuration: ${fault}`
		)
	}
	const acknowledgedCount = results.filter(({fault}) => fault === "").length
	if (results.length > 0)
		output.line(
			`${acknowledgedCount} of ${results.length} entries acknowledged the configuration`
		)
}

function printChanges({output}: Context, lines: readonly string[]): void {
	output.lines(limitLines(lines))
}

function limitLines(lines: readonly string[]): string[] {
	if (lines.length <= maxListedChanges) return [...lines]
	const rest = lines.length - maxListedChanges
	const more = `… and ${rest} more; --json lists all`
	return [...lines.slice(0, maxListedChanges), more]
}

function printJson(
	{output}: Context,
	result: ApplyResult,
	offerResults: readonly OfferResult[]
): void {
	const {outcome, applyId, generation, changes, others, otherChanges} = result
	output.json({
		outcome,
		applyId,
		generation,
		changes,
		others,
		otherChanges,
		entries: offerResults
	})
}

function requirePlatform({platform}: Context): Platform {
	if (platform !== undefined) return platform
	throw new SettingsError(["--platform is not set"])
}
