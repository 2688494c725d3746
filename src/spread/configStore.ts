/**
 * The installed configuration of one process. Its generation never decreases,
 * and a generation is installed only with all of its parts.
 */
import {Step, StepError} from "../contract/errors.js"
import {
	type ConfigPartContent,
	type ConfigRoot,
	findAdapterVersion,
	hashPart,
	listPartHashes,
	type ResolvedAdapter
} from "../contract/config/index.js"

/** Configuration parts by content hash. */
export type PartMap = Map<string, ConfigPartContent>
export type ReadonlyPartMap = ReadonlyMap<string, ConfigPartContent>

/** Result of `ConfigStore.install`. */
export enum InstallOutcome {
	Installed = "installed",
	/** This generation or a later one is already installed; nothing changed. */
	NotNewer = "notNewer"
}

export class ConfigStore {
	private current: ConfigRoot | undefined
	private parts: PartMap = new Map()
	private readonly listeners: ((root: ConfigRoot) => void)[] = []

	/** Installed generation; 0 before the first one. */
	get generation(): number {
		return this.current?.generation ?? 0
	}

	get root(): ConfigRoot | undefined {
		return this.current
	}

	/** @throws StepError when no configuration is installed yet */
	requireRoot(): ConfigRoot {
		if (this.current !== undefined) return this.current
		throw new StepError("no configuration is installed yet", {
			step: Step.Spread
		})
	}

	get isReady(): boolean {
		return this.current !== undefined
	}

	/** Registers a listener that is called after each installation. */
	onInstall(listener: (root: ConfigRoot) => void): void {
		this.listeners.push(listener)
	}

	part(hash: string): ConfigPartContent | undefined {
		return this.parts.get(hash)
	}

	/**
	 * Installs a root that is newer than the installed one. Parts that it shares
	 * with the installed one need not be in `fetched`.
	 *
	 * @throws StepError when a part is missing or does not match its hash
	 */
	install(root: ConfigRoot, fetched: ReadonlyPartMap): InstallOutcome {
		if (root.generation <= this.generation) return InstallOutcome.NotNewer
		const parts = this.collectParts(root, fetched)
		this.current = root
		this.parts = parts
		for (const listener of this.listeners) listener(root)
		return InstallOutcome.Installed
	}

	/** Finds an adapter version by `base:adapter@version`. */
	findAdapter(model: string): ResolvedAdapter | undefined {
		if (this.current === undefined) return undefined
		return findAdapterVersion(this.current, this.parts, model)
	}

	private collectParts(root: ConfigRoot, fetched: ReadonlyPartMap): PartMap {
		const parts: PartMap = new Map()
		for (const hash of listPartHashes(root)) {
			const part = this.parts.get(hash) ?? checkPart(hash, fetched.get(hash))
			parts.set(hash, part)
		}
		return parts
	}
}

function checkPart(
	hash: string,
	part: ConfigPartContent | undefined
): ConfigPartContent {
	if (part === undefined) {
		throw new StepError(`configuration part ${hash} was not fetched`, {
			step: Step.Spread
		})
	}
	if (hashPart(part) === hash) return part
	throw new StepError(`configuration part ${hash} does not match its hash`, {
		step: Step.Spread
	})
}
