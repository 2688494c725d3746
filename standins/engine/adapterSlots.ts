/** Adapter slots of an engine, whose weights come from the weight store. */
import {request} from "undici"
import {messageOf} from "../../src/utils/common.js"
import {HttpError} from "../common/index.js"

export interface AdapterSlotsOptions {
	slots: number
	weightStoreUrl: string
}

export class AdapterSlots {
	/** Number of successful loads. */
	loads = 0
	private readonly loadedPaths = new Map<string, string>()
	private readonly loading = new Map<string, Promise<void>>()
	private aborter = new AbortController()

	constructor(private readonly options: AdapterSlotsOptions) {}

	get resident(): string[] {
		return [...this.loadedPaths.keys()]
	}

	/** Returns the `lora_path` of a loaded adapter. */
	findLoraPath(name: string): string | undefined {
		return this.loadedPaths.get(name)
	}

	/**
	 * Loads an adapter, or waits for its load that is in progress.
	 * @throws HttpError 400 when no slot is free, 502 when the load fails
	 */
	async load(name: string, path: string): Promise<void> {
		if (this.loadedPaths.has(name)) return
		const loadInProgress = this.loading.get(name)
		if (loadInProgress !== undefined) return loadInProgress
		const {slots} = this.options
		if (this.loadedPaths.size + this.loading.size >= slots) {
			throw new HttpError(400, `all ${slots} slots are taken`)
		}
		const load = this.loadIntoSlot(name, path)
		this.loading.set(name, load)
		await load
	}

	/** Returns false when the adapter was not loaded. */
	unload(name: string): boolean {
		return this.loadedPaths.delete(name)
	}

	/** Unloads every adapter and aborts the loads in progress. */
	clear(): void {
		this.aborter.abort()
		this.aborter = new AbortController()
		this.loadedPaths.clear()
		this.loading.clear()
	}

	private async loadIntoSlot(name: string, path: string): Promise<void> {
		const {signal} = this.aborter
		try {
			await this.fetchWeights(path, signal)
			signal.throwIfAborted()
			this.loadedPaths.set(name, path)
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
