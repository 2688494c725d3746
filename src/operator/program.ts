/** Runs the operator command: parses arguments, runs, maps errors to exit codes. */
import {ConfigError, formatFault} from "../contract/config/index.js"
import {SettingsError, StepError} from "../contract/errors.js"
import {ExitCode} from "../program/exitCode.js"
import {messageOf} from "../utils/common.js"
import {ImmutableVersionError, NotAppliedError} from "./apply.js"
import {applyFiles, diffFiles, prune, validateFiles} from "./configCommands.js"
import {CommandName, type Invocation, parseCommandLine} from "./commandLine.js"
import {type Context, openContext} from "./context.js"
import {drain, showAdapter, showHistory, showStatus} from "./fleetCommands.js"
import type {Output} from "./output.js"
import {readOperatorSettings, Requirement} from "./settings.js"

const requirements: Readonly<Record<CommandName, Requirement>> = {
	[CommandName.Validate]: Requirement.None,
	[CommandName.Diff]: Requirement.Platform,
	[CommandName.Apply]: Requirement.Platform,
	[CommandName.History]: Requirement.PlatformOrEntry,
	[CommandName.Status]: Requirement.PlatformOrEntry,
	[CommandName.Get]: Requirement.PlatformOrEntry,
	[CommandName.Drain]: Requirement.PlatformOrEntryAndToken,
	[CommandName.Prune]: Requirement.Platform
}

/** Parses and runs a command line; prints errors and never rejects. */
export async function runOperator(
	argv: readonly string[],
	env: NodeJS.ProcessEnv,
	output: Output
): Promise<ExitCode> {
	let invocation: Invocation | undefined
	try {
		invocation = parseCommandLine(argv)
	} catch (err) {
		output.error(messageOf(err))
		return ExitCode.Usage
	}
	if (invocation === undefined) return ExitCode.Ok
	try {
		return await runInContext(invocation, env, output)
	} catch (err) {
		return reportFault(err, output)
	}
}

async function runInContext(
	invocation: Invocation,
	env: NodeJS.ProcessEnv,
	output: Output
): Promise<ExitCode> {
	const requirement = requirements[invocation.command]
	const settings = readOperatorSettings(invocation.flags, env, requirement)
	const context = openContext(settings, output)
	try {
		return await runCommand(invocation, context)
	} finally {
		await context.close()
	}
}

/**
 * Runs a parsed command.
 *
 * @throws SettingsError, ConfigError or a StepError, for `reportFault`
 */
export async function runCommand(
	invocation: Invocation,
	context: Context
): Promise<ExitCode> {
	const [first = "", second = ""] = invocation.args
	switch (invocation.command) {
		case CommandName.Validate:
			return validateFiles(context, invocation)
		case CommandName.Diff:
			return diffFiles(context, invocation)
		case CommandName.Apply:
			return applyFiles(context, invocation)
		case CommandName.History:
			return showHistory(context, invocation)
		case CommandName.Status:
			return showStatus(context, invocation)
		case CommandName.Drain:
			return drain(context, first)
		case CommandName.Prune:
			return prune(context, invocation)
		case CommandName.Get:
			if (first === "adapter") return showAdapter(context, second, invocation)
			throw new SettingsError([
				`unknown kind ${first}; get supports only adapter`
			])
	}
}

/** Prints an error and returns the exit code for its type. */
export function reportFault(err: unknown, output: Output): ExitCode {
	if (err instanceof ConfigError) {
		for (const fault of err.faults) output.error(formatFault(fault))
		output.error(`${err.faults.length} faults found`)
		return ExitCode.Usage
	}
	if (err instanceof SettingsError) {
		for (const fault of err.faults) output.error(fault)
		return ExitCode.Usage
	}
	output.error(describeError(err))
	if (err instanceof ImmutableVersionError) return ExitCode.Usage
	if (err instanceof NotAppliedError) output.error("nothing was applied")
	return ExitCode.Failed
}

function describeError(err: unknown): string {
	if (!(err instanceof StepError)) return messageOf(err)
	const peer = err.peer === "" ? "" : ` at ${err.peer}`
	return `${err.message} (${err.step}${peer})`
}
