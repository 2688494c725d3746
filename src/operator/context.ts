/** What a command works with. */
import {ulid} from "ulid"
import {HttpPlatform} from "../link/httpPlatform.js"
import type {Platform} from "../link/platform.js"
import {waitLonger} from "./apply.js"
import {createLinkOpener, type EntryLink, type OpenLink} from "./entryLink.js"
import type {Output} from "./output.js"
import type {OperatorSettings} from "./settings.js"

export interface Context {
	output: Output
	/** Undefined when none is set. */
	platform: Platform | undefined
	links: readonly EntryLink[]
	openLink: OpenLink
	operator: string
	token: string
	createApplyId: () => string
	/** Waits after a failed attempt, counted from 1. */
	wait: (attempt: number) => Promise<void>
	close: () => Promise<void>
}

/** Opens the platform and the links that the settings name. */
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
		wait: waitLonger,
		async close() {
			for (const link of links) link.close()
			await platform?.close()
		}
	}
}
