/**
 * Checks the fencing token (header `x-fencing-number`) of incoming calls. A
 * token below the highest one seen is stale. With `checksOrders`, calls without
 * a token or with one below the highest since the last restart are rejected.
 * Stale tokens that are accepted are counted: without `checksOrders` all, with
 * it those below the highest one before a restart.
 */
import type {IncomingMessage} from "node:http"
import {HttpError, readHeader} from "./standinServer.js"

export const fencingTokenHeader = "x-fencing-number"

/** Header of error responses to calls that were rejected before they ran. */
export const notRunHeaders = {"x-not-run": "true"}

export class FencingTokenChecker {
	highestToken = 0
	staleAcceptedCount = 0
	staleRefusedCount = 0
	/** Survives restarts, so that stale tokens are still counted after one. */
	private highestTokenEver = 0

	constructor(private readonly checksOrders: boolean) {}

	/**
	 * Records the token of a call.
	 * @throws HttpError 409 when `checksOrders` is set and the token is stale,
	 * 400 when the token is malformed, or missing although it is checked
	 */
	check(req: IncomingMessage): void {
		const token = this.readToken(req)
		if (token === undefined) return
		if (this.checksOrders && token < this.highestToken) {
			this.staleRefusedCount += 1
			const details = {highest: this.highestToken}
			const headers = notRunHeaders
			throw new HttpError(409, "stale fencing number", {details, headers})
		}
		if (token < this.highestTokenEver) this.staleAcceptedCount += 1
		this.highestToken = Math.max(this.highestToken, token)
		this.highestTokenEver = Math.max(this.highestTokenEver, token)
	}

	/** Simulates a restart, which loses the highest token seen. */
	forgetHighestToken(): void {
		this.highestToken = 0
	}

	private readToken(req: IncomingMessage): number | undefined {
		const text = readHeader(req, fencingTokenHeader)
		if (text !== undefined && /^\d+$/.test(text)) return Number(text)
		if (this.checksOrders || text !== undefined) {
			throw new HttpError(
				400,
				`${fencingTokenHeader} is not an integer: ${text ?? ""}`
			)
		}
		return undefined
	}
}
