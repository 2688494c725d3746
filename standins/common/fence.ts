/** Fencing of orders: refuses, or only counts, numbers below the highest. */
import type {IncomingMessage} from "node:http"
import {HttpError, readHeader} from "./standin.js"

export const fencingHeader = "x-fencing-number"

/** Marks a refusal that was made before the call started. */
export const notRunHeaders = {"x-not-run": "true"}

export class Fence {
	highest = 0
	staleAccepted = 0
	staleRefused = 0
	/** Not forgotten by `reset`, so that counts stay true. */
	private highestEver = 0

	constructor(private readonly checksOrders: boolean) {}

	/** @throws HttpError 409 when the order is stale and orders are checked */
	check(req: IncomingMessage): void {
		const number = this.readNumber(req)
		if (number === undefined) return
		if (this.checksOrders && number < this.highest) {
			this.staleRefused += 1
			const details = {highest: this.highest}
			const headers = notRunHeaders
			throw new HttpError(409, "stale fencing number", {details, headers})
		}
		if (number < this.highestEver) this.staleAccepted += 1
		this.highest = Math.max(this.highest, number)
		this.highestEver = Math.max(this.highestEver, number)
	}

	/** Forgets the highest number, as a restart does. */
	reset(): void {
		this.highest = 0
	}

	private readNumber(req: IncomingMessage): number | undefined {
		const text = readHeader(req, fencingHeader)
		if (text !== undefined && /^\d+$/.test(text)) return Number(text)
		if (this.checksOrders || text !== undefined) {
			throw new HttpError(
				400,
				`${fencingHeader} is not an integer: ${text ?? ""}`
			)
		}
		return undefined
	}
}
