/** The requests that wait for a grant, in the order of arrival. */
import {slotKey} from "../../contract/fleet.js"
import type {GrantRequest} from "./types.js"

export class WaitingRequests {
	private readonly requests = new Map<string, GrantRequest>()
	private readonly adapterCounts = new Map<string, number>()

	get size(): number {
		return this.requests.size
	}

	has(key: string): boolean {
		return this.requests.has(key)
	}

	add(request: GrantRequest): void {
		this.requests.set(request.key, request)
		this.countAdapter(request, 1)
	}

	delete(key: string): void {
		const request = this.requests.get(key)
		if (request === undefined) return
		this.requests.delete(key)
		this.countAdapter(request, -1)
	}

	deleteByOwner(owner: string): void {
		for (const [key, request] of this.requests) {
			if (request.owner === owner) this.delete(key)
		}
	}

	/** Whether a request other than the one of `key` waits for the adapter. */
	isWanted(model: string, adapter: string, key: string): boolean {
		const count = this.adapterCounts.get(slotKey(model, adapter)) ?? 0
		return count > (this.requests.has(key) ? 1 : 0)
	}

	list(): GrantRequest[] {
		return [...this.requests.values()]
	}

	private countAdapter({model, adapter}: GrantRequest, by: number): void {
		const key = slotKey(model, adapter)
		const count = (this.adapterCounts.get(key) ?? 0) + by
		if (count === 0) this.adapterCounts.delete(key)
		else this.adapterCounts.set(key, count)
	}
}
