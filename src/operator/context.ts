/** Dependencies of a command: output, platform client, links and settings. */
import {ulid} from "ulid"
import {HttpPlatform} from "../link/httpPlatform.js"
import type {Platform} from "../link/platform.js"
import {waitWithBackoff} from "./apply.js"
import {
	createLinkOpener,
	type ProcessLink,
	type OpenLink
} from "./processLink.js"
import type {Output} from "./output.js"
import type {OperatorSettings} from "./settings.js"

export interface Context {
	output: Output
	/** Undefined when no platform URL is set. */
	platform: Platform | undefined
	/** Links to the entries that `--entries` lists. */
	links: readonly ProcessLink[]
	openLink: OpenLink
	/** Name stored in the record of an apply. */
	operator: string
	/** Operator token, sent with configuration offers and drain requests. */
	token: string
	createApplyId: () => string
	/** Waits before the next attempt; `attempt` counts the failed ones, from 1. */
	wait: (attempt: number) => Promise<void>
	close: () => Promise<void>
}

/** Creates the platform client and the links to the entries in the settings. */
export function openContext(
	settings: OperatorSettings,
	output: Output
): Context {
	const {platform: url, timeoutMs, entries, tls} = settings
	const platform = url === "" ? undefined : new HttpPlatform({url, timeoutMs})
	const openLink = createLinkOpener(tls, timeoutMs)
	const links = entries.map(openLink)
	return {
		output,
		platform,
		links,
		openLink,
		operator: settings.operator,
		token: settings.operatorToken,
		createApplyId: ulid,
		wait: waitWithBackoff,
		async close() {
			for (const link of links) link.close()
			await platform?.close()
		}
	}
}
