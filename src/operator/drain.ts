/**
 * Tells a host to drain: it takes no new work, finishes its requests, up to its
 * `--drain-ms`, and exits.
 */
import {Step, StepError} from "../contract/errors.js"
import type {Platform} from "../link/platform.js"
import type {ProcessLink, OpenLink} from "./processLink.js"
import {readStatus} from "./status.js"

/** No row of the status has the host, or the row has no address. */
export class UnknownHostError extends StepError {}

/**
 * Looks up the host's address, sends it the drain request and returns the
 * address once the host has acknowledged.
 *
 * @throws UnknownHostError, or the link's error when the host does not answer or
 * refuses, as for a wrong token
 */
export async function drainHost(
	hostId: string,
	platform: Platform | undefined,
	links: readonly ProcessLink[],
	openLink: OpenLink,
	token: string
): Promise<string> {
	const {hosts, faults} = await readStatus(platform, links)
	const address = hosts.find(({id}) => id === hostId)?.address ?? ""
	if (address === "") {
		const detail = faults.length === 0 ? "" : ` (${faults.join("; ")})`
		const message = `no address is known for host ${hostId}${detail}`
		throw new UnknownHostError(message, {step: Step.Drain, peer: hostId})
	}
	const link = openLink(address)
	try {
		await link.drain({hostId, token})
		return address
	} finally {
		link.close()
	}
}
