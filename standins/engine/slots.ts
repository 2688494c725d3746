/** Adapter slots of an engine, filled from the weight store. */
import {request} from "undici"
import {messageOf} from "../../src/utils/common.js"
import {HttpError} from "../common/index.js"

export interface SlotsOptions {
	slots: number
	weightStoreUrl: string
}

export class Slots {
	/** Loads that succeeded. */
	loads = 0
	private readonly paths = new Map<string, string>()
	private readonly loading = new Map<string, Promise<void>>()
	private aborter = new AbortController()

	constructor(private readonly options: SlotsOptions) {}

	get resident(): string[] {
		return [...this.paths.keys()]
	}

	/** The source a loaded adapter came from. */
	pathOf(name: string): string | undefined {
		return this.paths.get(name)
	}

	/** Loads an adapter, or joins its load if one is in progress. */
	async load(name: string, path: string): Promise<void> {
		if (this.paths.has(name)) return
		const joined = this.loading.get(name)
		if (joined !== undefined) return joined
		const {slots} = this.options
		if (this.paths.size + this.loading.size >= slots) {
			throw new HttpError(400, `all ${slots} slots are taken`)
		}
		const load = this.fill(name, path)
		this.loading.set(name, load)
		await load
	}

	/** False when the adapter is not loaded. */
	unload(name: string): boolean {
		return this.paths.delete(name)
	}

	/** Drops every adapter and every load in progress. */
	clear(): void {
		this.aborter.abort()
		this.aborter = new AbortController()
		this.paths.clear()
		this.loading.clear()
	}

	private async fill(name: string, path: string): Promise<void> {
		const {signal} = this.aborter
		try {
			await this.fetchWeights(path, signal)
			signal.throwIfAborted()
			this.paths.set(name, path)
			this.loads += 1
		} finally {
			if (!signal.aborted) this.loading.delete(name)
		}
	}

	private async fetchWeights(path: string, signal: AbortSignal): Promise<void> {
		const url = new URL("/v1/weights", this.options.weightStoreUrl)
		url.searchParams.set("source", path)
		const status = await this.fetchStatus(url, signal)
		if (status === 200) return
		throw new HttpError(502, `weight store answered ${status} for ${path}`)
	}

	private async fetchStatus(url: URL, signal: AbortSignal): Promise<number> {
		try {
			const {statusCode, body} = await request(url, {signal})
			await body.dump()
			return statusCode
		} catch (err) {
			throw new HttpError(502, `weight store: ${messageOf(err)}`)
		}
	}
}
