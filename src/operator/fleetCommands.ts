/**
 * Commands that show the accepted configuration and where it is in force, and
 * the command that drains a host.
 */
import {parseAdapterId} from "../contract/config/index.js"
import {SettingsError} from "../contract/errors.js"
import {ExitCode} from "../program/exitCode.js"
import type {Context} from "./context.js"
import {drainHost} from "./drain.js"
import {lookUpAdapter, lookUpRoot, type RootLookup} from "./lookUp.js"
import {type FleetStatus, type HostRow, readStatus} from "./status.js"

export interface FormatOptions {
	json: boolean
}

/** `history`: prints the records of recent applies, newest first. */
export async function showHistory(
	context: Context,
	{json}: FormatOptions
): Promise<ExitCode> {
	const {output, platform, links} = context
	const lookup = await lookUpRoot(platform, links)
	const applies = lookup.root?.applies ?? []
	warnUnlessFromPlatform(context, lookup)
	if (json) {
		output.json(applies)
		return ExitCode.Ok
	}
	const rows = applies.map(({generation, at, operator, id, summary}) => [
		String(generation),
		new Date(at).toISOString(),
		operator,
		id,
		summary
	])
	output.table(["GENERATION", "AT", "OPERATOR", "APPLY", "CHANGES"], rows)
	return ExitCode.Ok
}

/** `status`: prints the hosts, and at how many the accepted generation is in force. */
export async function showStatus(
	{output, platform, links}: Context,
	{json}: FormatOptions
): Promise<ExitCode> {
	const status = await readStatus(platform, links)
	for (const fault of status.faults) output.error(fault)
	if (json) output.json(status)
	else {
		output.table(
			[
				"HOST",
				"ROLE",
				"DOMAIN",
				"POOL",
				"STATE",
				"GENERATION",
				"RUNNING",
				"QUEUED",
				"PLATFORM"
			],
			status.hosts.map(formatHost)
		)
		output.line(formatInForce(status))
	}
	const hasOnlyFaults = status.hosts.length === 0 && status.faults.length > 0
	return hasOnlyFaults ? ExitCode.Failed : ExitCode.Ok
}

/** `drain HOST`: tells the host to drain and exit. */
export async function drain(
	{output, platform, links, openLink, token}: Context,
	hostId: string
): Promise<ExitCode> {
	const address = await drainHost(hostId, platform, links, openLink, token)
	output.line(
		`${hostId} at ${address} is draining; run status to see when it has left`
	)
	return ExitCode.Ok
}

/** `get adapter BASE:NAME[@VERSION]`: prints the versions of an adapter. */
export async function showAdapter(
	context: Context,
	id: string,
	{json}: FormatOptions
): Promise<ExitCode> {
	const {output, platform, links} = context
	const parsed = parseAdapterId(id)
	if (parsed === undefined) {
		throw new SettingsError([
			`adapter ${id}: expected BASE:NAME or BASE:NAME@VERSION`
		])
	}
	const lookup = await lookUpRoot(platform, links)
	warnUnlessFromPlatform(context, lookup)
	const adapter = await lookUpAdapter(lookup, id)
	const {version} = parsed
	const versions = (adapter?.versions ?? []).filter(
		entry => version === undefined || entry.version === version
	)
	if (versions.length === 0) {
		const generation = lookup.root?.generation ?? 0
		output.error(`adapter ${id} does not exist in generation ${generation}`)
		return ExitCode.Failed
	}
	if (json) output.json({base: parsed.base, name: parsed.name, versions})
	else {
		const rows = versions.map(entry => [entry.version, entry.source])
		output.table(["VERSION", "SOURCE"], rows)
	}
	return ExitCode.Ok
}

/** Warns when the root was read from an entry although a platform is set. */
function warnUnlessFromPlatform(
	{output, platform}: Context,
	{source}: RootLookup
): void {
	if (platform === undefined || source === "platform") return
	output.error(
		`could not read the root from the platform; showing the configuration of entry ${source}, which may be older`
	)
}

function formatHost(row: HostRow): string[] {
	const {generation, platformReachable} = row
	return [
		row.id,
		row.role,
		row.failureDomain,
		row.pool === "" ? "-" : row.pool,
		row.state,
		generation === undefined ? "?" : String(generation),
		String(row.running),
		String(row.queued),
		formatReachability(platformReachable)
	]
}

function formatReachability(isReachable: boolean | undefined): string {
	if (isReachable === undefined) return "?"
	return isReachable ? "ok" : "out"
}

function formatInForce(status: FleetStatus): string {
	const {generation, inForce, hosts, isFromPlatform} = status
	const note = isFromPlatform
		? ""
		: " (highest among the hosts; the platform was not read)"
	return `generation ${generation}${note} in force at ${inForce} of ${hosts.length} hosts`
}
