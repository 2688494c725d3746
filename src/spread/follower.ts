/**
 * Keeps the configuration of a process that does not watch the platform: it
 * fetches from whichever entry speaks of a later generation.
 */
import PQueue from "p-queue"
import type {LinkClient} from "../link/linkClient.js"
import type {Log} from "../program/log.js"
import {messageOf} from "../utils/common.js"
import type {ConfigStore} from "./configStore.js"
import {readPeerParts, readPeerRoot} from "./fetch.js"

export class ConfigFollower {
	private readonly queue = new PQueue({concurrency: 1})

	constructor(
		private readonly store: ConfigStore,
		private readonly log: Log
	) {}

	/** Tells that `peer` holds `generation`; fetches it when it is newer. */
	hear(peer: LinkClient, generation: number): void {
		if (generation <= this.store.generation) return
		if (this.queue.size > 0) return
		void this.queue.add(() => this.follow(peer))
	}

	/** Fetches from `peer` when it holds a newer generation. */
	async follow(peer: LinkClient): Promise<void> {
		try {
			const root = await readPeerRoot(peer, this.store.generation)
			if (root === undefined) return
			const missing = this.store.listMissing(root)
			const parts = await readPeerParts(peer, missing)
			this.store.install(root, parts)
			this.log.info("configuration installed", {
				generation: root.generation,
				peer: peer.address
			})
		} catch (err) {
			this.log.debug("configuration fetch failed", {
				peer: peer.address,
				reason: messageOf(err)
			})
		}
	}
}
