/** Asks a host to finish what it holds and leave. */
import {Step, StepError} from "../contract/errors.js"
import type {Platform} from "../link/platform.js"
import type {EntryLink, OpenLink} from "./entryLink.js"
import {readStatus} from "./status.js"

/** The host is not known, or its address is not. */
export class UnknownHostError extends StepError {}

/** Sends the drain order to the host itself; returns its address. */
export async function drainHost(
	hostId: string,
	platform: Platform | undefined,
	links: readonly EntryLink[],
	openLink: OpenLink,
	token: string
): Promise<string> {
	const {hosts, faults} = await readStatus(platform, links)
	const address = hosts.find(({id}) => id === hostId)?.address ?? ""
	if (address === "") {
		const detail = faults.length === 0 ? "" : ` (${faults.join("; ")})`
		const message = `no address is known of host ${hostId}${detail}`
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
