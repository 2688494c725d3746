/** The newest announced version of each adapter, and since when it is announced. */
import {type AnnouncedVersion, slotKey} from "../../contract/fleet.js"

interface Entry {
	version: AnnouncedVersion
	/** Time of its announcement as far as is known; -Infinity if it isn't. */
	heardAt: number
}

export class AnnouncedVersions {
	private readonly entries = new Map<string, Entry>()

	/** Records a version; returns false if that or a newer one is known. */
	add(version: AnnouncedVersion, heardAt: number): boolean {
		const key = slotKey(version.model, version.adapter)
		const known = this.entries.get(key)
		if (known !== undefined && known.version.version >= version.version)
			return false
		this.entries.set(key, {version, heardAt})
		return true
	}

	/** The newest announced version of the adapter with this slot key. */
	find(key: string): AnnouncedVersion | undefined {
		return this.entries.get(key)?.version
	}

	/** Time since that version was announced; infinite if that is not known. */
	getAgeMs(key: string, now: number): number {
		const entry = this.entries.get(key)
		return entry === undefined ? 0 : now - entry.heardAt
	}

	list(): AnnouncedVersion[] {
		return [...this.entries.values()].map(({version}) => version)
	}
}
