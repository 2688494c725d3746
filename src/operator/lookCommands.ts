/** Commands that show what is in force, and drain hosts. */
import {parseAdapterId} from "../contract/config/index.js"
import {SettingsError} from "../contract/errors.js"
import {ExitCode} from "../program/run.js"
import type {Context} from "./context.js"
import {drainHost} from "./drain.js"
import {findRoot, type FoundRoot, lookUpAdapter} from "./lookUp.js"
import {type FleetStatus, type HostRow, readStatus} from "./status.js"

export interface LookOptions {
	json: boolean
}

/** `history`: recent applies, newest first. */
export async function showHistory(
	context: Context,
	{json}: LookOptions
): Promise<ExitCode> {
	const {output, platform, links} = context
	const found = await findRoot(platform, links)
	const applies = found.root?.applies ?? []
	warnOfSource(context, found)
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

/** `status`: in force at how many hosts of how many. */
export async function showStatus(
	{output, platform, links}: Context,
	{json}: LookOptions
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
		output.line(formatForce(status))
	}
	const isSilent = status.hosts.length === 0 && status.faults.length > 0
	return isSilent ? ExitCode.Failed : ExitCode.Ok
}

/** `drain HOST`: the host finishes what it holds and leaves. */
export async function drain(
	{output, platform, links, openLink, token}: Context,
	hostId: string
): Promise<ExitCode> {
	const address = await drainHost(hostId, platform, links, openLink, token)
	output.line(
		`${hostId} at ${address} is leaving; status shows when it is gone`
	)
	return ExitCode.Ok
}

/** `get adapter BASE:NAME[@VERSION]`. */
export async function showAdapter(
	context: Context,
	id: string,
	{json}: LookOptions
): Promise<ExitCode> {
	const {output, platform, links} = context
	const parsed = parseAdapterId(id)
	if (parsed === undefined) {
		throw new SettingsError([`${id}: expected BASE:NAME or BASE:NAME@VERSION`])
	}
	const found = await findRoot(platform, links)
	warnOfSource(context, found)
	const adapter = await lookUpAdapter(found, id)
	const {version} = parsed
	const versions = (adapter?.versions ?? []).filter(
		entry => version === undefined || entry.version === version
	)
	if (versions.length === 0) {
		const generation = found.root?.generation ?? 0
		output.error(`${id} does not exist in generation ${generation}`)
		return ExitCode.Failed
	}
	if (json) output.json({base: parsed.base, name: parsed.name, versions})
	else {
		const rows = versions.map(entry => [entry.version, entry.source])
		output.table(["VERSION", "SOURCE"], rows)
	}
	return ExitCode.Ok
}

function warnOfSource({output, platform}: Context, {source}: FoundRoot): void {
	if (platform === undefined || source === "platform") return
	output.error(`the platform does not answer; shown is what ${source} knows`)
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
		formatReach(platformReachable)
	]
}

function formatReach(isReachable: boolean | undefined): string {
	if (isReachable === undefined) return "?"
	return isReachable ? "ok" : "out"
}

function formatForce(status: FleetStatus): string {
	const {generation, inForce, hosts, isFromPlatform} = status
	const note = isFromPlatform
		? ""
		: " (highest seen; the platform was not read)"
	return `generation ${generation}${note} in force at ${inForce} of ${hosts.length} hosts`
}
