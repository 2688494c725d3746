/** Finds out whether the process of an endpoint ended when a send to it broke off. */
import type {AgentLinks} from "../links/agentLinks.js"
import {ProbeResult, probeAddress} from "../sends/connectionProbe.js"
import type {SendTarget} from "../sends/sendTarget.js"

/** Whether an endpoint has ended, and what showed it, for the log. */
export interface EndpointEnd {
	hasEnded: boolean
	shownBy: string
}

/** Several round trips between failure domains. */
const probeTimeoutMs = 150
/** Several times the time of a call to an agent in another failure domain. */
const answerTimeoutMs = 150

/** Asks the endpoint's agent, or without one finds out by a connection. */
export async function findEndpointEnd(
	links: AgentLinks,
	{endpoint, bornAt}: Pick<SendTarget, "endpoint" | "bornAt">
): Promise<EndpointEnd> {
	const link = bornAt === 0 ? undefined : links.getForCheck(endpoint.id)
	const answer = await new Promise<boolean | undefined>(resolve => {
		if (link === undefined) {
			resolve(undefined)
			return
		}
		link.checkEngine(bornAt, resolve)
		setTimeout(() => {
			resolve(undefined)
		}, answerTimeoutMs)
	})
	if (answer !== undefined) return {hasEnded: answer, shownBy: "agent"}
	const result = await probeAddress(endpoint.address, probeTimeoutMs)
	const hasEnded = result === ProbeResult.Refused
	return {hasEnded, shownBy: `connection ${result}`}
}
